#pragma once

#include "steps/stepjob.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// What the admission oracle of a queue has said: which minions may run a step, and with which tickets. Its answer on a
// minion does not change; a ticket expires, and ends with the minion's life. Pure.

namespace Papaya
{

/** The oracle's permission to start the tasks of a step on a minion. */
struct AdmissionTicket {
    MinionId minion;
    std::string text;
};

/** Tickets by step and minion. */
class TicketBook
{
public:
    /**
     * The oracle was asked about @p asked and has admitted @p tickets.
     * @param validUntilMs on the clock that nowMs is read from
     */
    void add(const StepKey &step, const std::vector<MinionId> &asked, const std::vector<AdmissionTicket> &tickets,
             std::int64_t validUntilMs);

    /** @return the ticket for a start now; empty if there is none that is still valid. */
    [[nodiscard]] std::string ticket(const StepKey &step, const MinionId &minion, std::int64_t nowMs) const;
    /** @return true if the oracle has said that @p minion may not run @p step. */
    [[nodiscard]] bool refused(const StepKey &step, const MinionId &minion) const;
    /** @return true if the oracle has admitted @p minion, even if the ticket has expired. */
    [[nodiscard]] bool admitted(const StepKey &step, const MinionId &minion) const;

    /** The minion has refused the ticket. */
    void expire(const StepKey &step, const MinionId &minion);
    /** All tickets of @p minion are void: it has begun a new life. */
    void expireAll(const MinionId &minion);
    void forget(const JobId &job);

private:
    struct Answer {
        bool admitted = false;
        std::string ticket;
        std::int64_t validUntilMs = 0;
    };

    [[nodiscard]] const Answer *find(const StepKey &step, const MinionId &minion) const;

    std::map<StepKey, std::map<MinionId, Answer>> m_answers;
};

} // namespace Papaya
