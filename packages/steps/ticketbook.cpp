#include "steps/ticketbook.h"

namespace Papaya
{

namespace
{

constexpr std::int64_t ORDER_MARGIN_MS = 300; // a start reaches its minion within it

} // namespace

void TicketBook::add(const StepKey &step, const std::vector<MinionId> &asked, const std::vector<AdmissionTicket> &good,
                     std::int64_t validUntilMs)
{
    std::map<MinionId, Word> &words = m_words[step];
    for (const MinionId &minion : asked) {
        words[minion] = Word();
    }
    for (const AdmissionTicket &ticket : good) {
        words[ticket.minion] = {true, ticket.text, validUntilMs};
    }
}

const TicketBook::Word *TicketBook::find(const StepKey &step, const MinionId &minion) const
{
    const auto words = m_words.find(step);
    if (words == m_words.end()) {
        return nullptr;
    }
    const auto word = words->second.find(minion);
    return word == words->second.end() ? nullptr : &word->second;
}

std::string TicketBook::ticket(const StepKey &step, const MinionId &minion, std::int64_t nowMs) const
{
    const Word *word = find(step, minion);
    const bool valid = word != nullptr && word->admitted && nowMs + ORDER_MARGIN_MS < word->validUntilMs;
    return valid ? word->ticket : std::string();
}

bool TicketBook::refused(const StepKey &step, const MinionId &minion) const
{
    const Word *word = find(step, minion);
    return word != nullptr && !word->admitted;
}

bool TicketBook::admitted(const StepKey &step, const MinionId &minion) const
{
    const Word *word = find(step, minion);
    return word != nullptr && word->admitted;
}

void TicketBook::expire(const StepKey &step, const MinionId &minion)
{
    const auto words = m_words.find(step);
    if (words != m_words.end() && words->second.contains(minion)) {
        words->second[minion].validUntilMs = 0;
    }
}

void TicketBook::expireAll(const MinionId &minion)
{
    for (auto &[step, words] : m_words) {
        if (const auto word = words.find(minion); word != words.end()) {
            word->second.validUntilMs = 0;
        }
    }
}

void TicketBook::forget(const JobId &job)
{
    std::erase_if(m_words, [&job](const auto &item) { return item.first.job == job; });
}

} // namespace Papaya
