#pragma once

#include "steps/jobrecord.h"

#include <algorithm>
#include <cstdint>
#include <optional>

// Evidence of when earlier planners have ceased to renew leases. All times are in one steady clock, in milliseconds.

namespace Papaya
{

/** The planner that led before the present one, as the journal shows it. */
struct PriorPlanner {
    PlannerAnnouncement announced;
    std::int64_t earlierRenewalsEndMs = 0;  ///< no planner before it renews a lease later
    std::optional<std::int64_t> resignedMs; ///< when its resignation was read, which it writes after its last renewal
};

/** Follows who leads in the journal. */
class Succession
{
public:
    /** @param renewalWindowMs how long a planner renews leases after its last record */
    explicit Succession(std::int64_t renewalWindowMs)
        : m_renewalWindowMs(renewalWindowMs)
    {
    }

    /**
     * Takes note of a record of a planner that has been read at @p nowMs.
     * @param gapless false if records of other planners may be missing before it
     */
    void read(const PlannerAnnouncement &announced, bool gapless, std::int64_t nowMs)
    {
        if (announced.epoch > m_present.epoch) {
            // The first record of the present planner proves that those before it can store nothing more.
            m_prior.reset();
            if (gapless && m_present.epoch.value() != 0) {
                m_prior = PriorPlanner {m_present, m_presentSinceMs + m_renewalWindowMs, m_resignedMs};
            }
            m_presentSinceMs = nowMs;
            m_resignedMs.reset();
        } else if (announced.epoch < m_present.epoch) {
            return;
        }
        m_present = announced;
        if (announced.resigned && !m_resignedMs) {
            m_resignedMs = nowMs;
        }
    }

    /** @return the planner that led before the one with @p epoch; nothing if another one leads or it is unknown. */
    [[nodiscard]] std::optional<PriorPlanner> before(Epoch epoch) const
    {
        return m_present.epoch == epoch ? m_prior : std::nullopt;
    }

private:
    std::int64_t m_renewalWindowMs;
    PlannerAnnouncement m_present;
    std::int64_t m_presentSinceMs = 0; ///< when the first record of m_present was read
    std::optional<std::int64_t> m_resignedMs;
    std::optional<PriorPlanner> m_prior;
};

/** What a process knows of the epochs that it has claimed itself. */
class OwnLeadership
{
public:
    /** @param nowMs when the process began to listen at its address, which an earlier process has released by then */
    explicit OwnLeadership(std::int64_t nowMs)
        : m_endedMs(nowMs)
        , m_listeningSinceMs(nowMs)
    {
    }

    /** To be called before the claim of @p epoch is sent. */
    void claimBegun(Epoch epoch)
    {
        m_firstClaimed = m_firstClaimed.value_or(epoch);
        m_active = true;
    }
    /** To be called once the claim has failed, or the planner that it has led to renews nothing more. */
    void ended(std::int64_t nowMs)
    {
        m_active = false;
        m_endedMs = nowMs;
    }
    /**
     * @return when the planner of @p epoch, which a process of this node has claimed, has ceased to renew leases at the
     * latest; nothing if it may still renew. Epochs rise, so an epoch below the first one that this process has claimed
     * was claimed by an earlier process.
     */
    [[nodiscard]] std::optional<std::int64_t> renewalsEndMs(Epoch epoch) const
    {
        if (!m_firstClaimed || epoch < *m_firstClaimed) {
            return m_listeningSinceMs;
        }
        return m_active ? std::nullopt : std::optional(m_endedMs);
    }

private:
    std::optional<Epoch> m_firstClaimed;
    bool m_active = false; ///< a claim is under way, or its planner leads
    std::int64_t m_endedMs;
    std::int64_t m_listeningSinceMs;
};

} // namespace Papaya
