#pragma once

#include "steps/stepjob.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Caches the answers of admission oracles: which minions may run a step, and with which tickets. The answer about a
// minion is final, but its ticket expires, and becomes void when the minion restarts.

namespace Papaya
{

/** Permission of an oracle to start tasks of a step on a minion. */
struct AdmissionTicket {
    MinionId minion;
    std::string text;
};

/** Answers of admission oracles, by step and minion. */
class TicketBook
{
public:
    /**
     * Records the answer of an oracle.
     * @param queried the minions in the query
     * @param tickets tickets of the admitted minions; the others are refused
     * @param validUntilMs expiry of the tickets, on the clock of ticket()
     */
    void add(const StepKey &step, const std::vector<MinionId> &queried, const std::vector<AdmissionTicket> &tickets,
             std::int64_t validUntilMs);

    /** @return the ticket for a start at @p nowMs, or an empty string if none is valid then. */
    [[nodiscard]] std::string ticket(const StepKey &step, const MinionId &minion, std::int64_t nowMs) const;
    /** @return true if the oracle has refused @p minion for @p step. */
    [[nodiscard]] bool refused(const StepKey &step, const MinionId &minion) const;
    /** @return true if the oracle has admitted @p minion for @p step, even if the ticket has expired. */
    [[nodiscard]] bool admitted(const StepKey &step, const MinionId &minion) const;

    /** Voids the ticket of @p step, which @p minion has refused. */
    void expire(const StepKey &step, const MinionId &minion);
    /** Voids all tickets of @p minion, which has restarted. */
    void expireAll(const MinionId &minion);
    /** Drops the answers for all steps of @p job. */
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
