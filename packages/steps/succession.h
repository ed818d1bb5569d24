#pragma once

#include "steps/jobrecord.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Evidence of when earlier planners have ceased to renew leases. All times are in one steady clock, in milliseconds.
//
// A planner renews leases for a limited time after its last stored record, and the first record of its successor proves
// that it can store no more. Its own node can prove an earlier end. Several planners may end in series within that
// time, so that each of them is followed by itself. A planner announces those before it, for nodes that have read only
// the newest record of each key.

namespace Papaya
{

/** A planner that led before the present one. */
struct PriorPlanner {
    Epoch epoch;
    std::string node;               ///< empty if it is unknown
    std::string peers;              ///< where its node can be asked; empty if it cannot
    std::int64_t renewalsEndMs = 0; ///< it renews no lease later
};

/** Follows who leads in the journal. */
class Succession
{
public:
    /**
     * @param renewalWindowMs how long a planner renews leases after its last record
     * @param leaseSpanMs how long a lease may last after its renewal
     */
    Succession(std::int64_t renewalWindowMs, std::int64_t leaseSpanMs)
        : m_renewalWindowMs(renewalWindowMs)
        , m_leaseSpanMs(leaseSpanMs)
    {
    }

    /**
     * Takes note of a record of a planner that has been read at @p nowMs.
     * @param gapless false if records of other planners may be missing before it
     */
    void read(const PlannerAnnouncement &announced, bool gapless, std::int64_t nowMs)
    {
        if (announced.epoch < m_present.epoch) {
            return;
        }
        if (announced.epoch > m_present.epoch) {
            const bool isPresentKnown = gapless && m_present.epoch.value() != 0;
            std::vector<PriorPlanner> known = isPresentKnown ? priorsOfNext(nowMs) : std::vector<PriorPlanner>();
            if (announced.earlier) {
                m_priors = announcedPriors(*announced.earlier, known, nowMs);
            } else if (isPresentKnown) {
                m_priors = std::move(known);
            } else {
                m_priors = {unknownPrior(nowMs)};
            }
            m_resignedMs.reset();
        }
        m_present = announced;
        if (announced.resigned && !m_resignedMs) {
            m_resignedMs = nowMs;
        }
    }

    /**
     * @return all planners before the one with @p epoch whose leases had not expired when its first record was read;
     * nothing if another one leads
     */
    [[nodiscard]] std::optional<std::vector<PriorPlanner>> before(Epoch epoch) const
    {
        return m_present.epoch == epoch ? std::optional(m_priors) : std::nullopt;
    }

    /** @return all planners before one that takes over at @p nowMs whose leases may not have expired by then. */
    [[nodiscard]] std::vector<PriorPlanner> priorsOfNext(std::int64_t nowMs) const
    {
        if (m_present.epoch.value() == 0) {
            return {unknownPrior(nowMs)};
        }
        std::vector<PriorPlanner> priors = m_priors;
        priors.push_back(
            {m_present.epoch, m_present.node, m_present.peers, m_resignedMs.value_or(nowMs + m_renewalWindowMs)});
        dropExpired(priors, m_leaseSpanMs, nowMs);
        return priors;
    }

    /** Drops planners whose leases have expired at @p nowMs. */
    static void dropExpired(std::vector<PriorPlanner> &priors, std::int64_t leaseSpanMs, std::int64_t nowMs)
    {
        std::erase_if(priors, [=](const PriorPlanner &prior) { return prior.renewalsEndMs + leaseSpanMs < nowMs; });
    }

    /** @return the form in which a record that is written at @p nowMs lists @p priors. */
    static std::vector<EarlierPlanner> listed(const std::vector<PriorPlanner> &priors, std::int64_t nowMs)
    {
        std::vector<EarlierPlanner> earlier;
        earlier.reserve(priors.size());
        for (const PriorPlanner &prior : priors) {
            const std::int64_t renewsForMs = std::max<std::int64_t>(0, prior.renewalsEndMs - nowMs);
            earlier.push_back({prior.epoch, prior.node, prior.peers, renewsForMs});
        }
        return earlier;
    }

private:
    /** @return a stand-in for all planners whose records may be missing before one that was read at @p nowMs. */
    [[nodiscard]] PriorPlanner unknownPrior(std::int64_t nowMs) const
    {
        return {Epoch(0), "", "", nowMs + m_renewalWindowMs};
    }

    /** @return the planners that a record lists which was read at @p nowMs, with the tighter bounds of @p known. */
    static std::vector<PriorPlanner> announcedPriors(const std::vector<EarlierPlanner> &earlier,
                                                     const std::vector<PriorPlanner> &known, std::int64_t nowMs)
    {
        std::vector<PriorPlanner> priors;
        priors.reserve(earlier.size());
        for (const EarlierPlanner &planner : earlier) {
            PriorPlanner &prior = priors.emplace_back(
                PriorPlanner {planner.epoch, planner.node, planner.peers, nowMs + planner.renewsForMs});
            for (const PriorPlanner &own : known) {
                if (own.epoch == prior.epoch && own.node == prior.node) {
                    prior.renewalsEndMs = std::min(prior.renewalsEndMs, own.renewalsEndMs);
                }
            }
        }
        return priors;
    }

    std::int64_t m_renewalWindowMs;
    std::int64_t m_leaseSpanMs;
    PlannerAnnouncement m_present;
    std::vector<PriorPlanner> m_priors;       ///< the planners before m_present
    std::optional<std::int64_t> m_resignedMs; ///< when the resignation of m_present was read
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

    /** To be called before the claim of @p epoch is sent, once the planner of an earlier claim renews nothing more. */
    void claimBegun(Epoch epoch)
    {
        m_claims.push_back({epoch, std::nullopt});
        if (m_claims.size() > MAX_CLAIMS) {
            m_claims.erase(m_claims.begin() + 1);
        }
    }
    /** To be called once the claim has failed, or the planner that it has led to renews nothing more. */
    void ended(std::int64_t nowMs)
    {
        m_endedMs = nowMs;
        if (!m_claims.empty()) {
            m_claims.back().endedMs = nowMs;
        }
    }
    /**
     * @return when the planner of @p epoch, which a process of this node has claimed, has ceased to renew leases at the
     * latest; nothing if it may still renew. Epochs rise, so an epoch below the first one that this process has claimed
     * was claimed by an earlier process.
     */
    [[nodiscard]] std::optional<std::int64_t> renewalsEndMs(Epoch epoch) const
    {
        if (m_claims.empty() || epoch < m_claims.front().epoch) {
            return m_listeningSinceMs;
        }
        const auto claim = std::find_if(m_claims.begin(), m_claims.end(),
                                        [epoch](const Claim &candidate) { return candidate.epoch == epoch; });
        if (claim != m_claims.end()) {
            return claim->endedMs;
        }
        return m_claims.back().endedMs ? std::optional(m_endedMs) : std::nullopt; // one that is no longer known
    }

private:
    static constexpr std::size_t MAX_CLAIMS = 32; ///< known at a time: the first, and the latest

    struct Claim {
        Epoch epoch;
        std::optional<std::int64_t> endedMs; ///< empty while it is under way or its planner leads
    };

    std::vector<Claim> m_claims;
    std::int64_t m_endedMs;
    std::int64_t m_listeningSinceMs;
};

} // namespace Papaya
