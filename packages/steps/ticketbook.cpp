#include "steps/ticketbook.h"

namespace Papaya
{

namespace
{

constexpr std::int64_t START_DELAY_MARGIN_MS = 300; // bound on the time until a start order reaches its minion

} // namespace

void TicketBook::add(const StepKey &step, const std::vector<MinionId> &queried,
                     const std::vector<AdmissionTicket> &tickets, std::int64_t validUntilMs)
{
    std::map<MinionId, Answer> &answers = m_answers[step];
    for (const MinionId &minion : queried) {
        answers[minion] = Answer();
    }
    for (const AdmissionTicket &ticket : tickets) {
        answers[ticket.minion] = {true, ticket.text, validUntilMs};
    }
}

const TicketBook::Answer *TicketBook::find(const StepKey &step, const MinionId &minion) const
{
    const auto answers = m_answers.find(step);
    if (answers == m_answers.end()) {
        return nullptr;
    }
    const auto answer = answers->second.find(minion);
    return answer == answers->second.end() ? nullptr : &answer->second;
}

std::string TicketBook::ticket(const StepKey &step, const MinionId &minion, std::int64_t nowMs) const
{
    const Answer *answer = find(step, minion);
    const bool valid = answer != nullptr && answer->admitted && nowMs + START_DELAY_MARGIN_MS < answer->validUntilMs;
    return valid ? answer->ticket : std::string();
}

bool TicketBook::refused(const StepKey &step, const MinionId &minion) const
{
    const Answer *answer = find(step, minion);
    return answer != nullptr && !answer->admitted;
}

bool TicketBook::admitted(const StepKey &step, const MinionId &minion) const
{
    const Answer *answer = find(step, minion);
    return answer != nullptr && answer->admitted;
}

void TicketBook::expire(const StepKey &step, const MinionId &minion)
{
    const auto answers = m_answers.find(step);
    if (answers != m_answers.end() && answers->second.contains(minion)) {
        answers->second[minion].validUntilMs = 0;
    }
}

void TicketBook::expireAll(const MinionId &minion)
{
    for (auto &[step, answers] : m_answers) {
        if (const auto answer = answers.find(minion); answer != answers.end()) {
            answer->second.validUntilMs = 0;
        }
    }
}

void TicketBook::forget(const JobId &job)
{
    std::erase_if(m_answers, [&job](const auto &item) { return item.first.job == job; });
}

} // namespace Papaya
