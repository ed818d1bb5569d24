#pragma once

#include "base/strong.h"
#include "base/units.h"
#include "request/refusal.h"
#include "version/fleetconfig.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

// Admission control: decides which queued request gets the next free slot, and refuses requests for which the queue is
// full or the deadline is out of reach. Reads no clock and does no I/O; the caller passes the current time.

namespace Papaya
{

/** Identifies a request within admission control. */
using TicketId = Strong<struct TicketIdTag, std::uint64_t>;

/** A request that asks for a slot. */
struct Ticket {
    TicketId id;
    TeamName team;
    CallerName caller;
    Urgency urgency = Urgency::Normal;
    TimePoint deadline;
    /** Expected service time; the cost that fair queueing charges for the request. */
    Duration expectedServiceTime {0};
    /**
     * Service time that is rarely exceeded. A request with less time than this to its deadline is refused, since it
     * would probably occupy a slot and miss the deadline all the same.
     */
    Duration serviceTimeBound {0};
};

/** Share and limits of one team at this instance. */
struct TeamShare {
    std::uint32_t weight = 1;
    std::uint32_t guaranteedSlots = 0;
    TeamLimits limits;
};

/** Slots to share out, and the shares of urgency bands and teams. */
struct AdmissionSetup {
    std::uint32_t slots = 0;
    /** Share of the slots that each urgency band gets under contention, in percent. */
    std::array<std::uint32_t, URGENCY_COUNT> floors {70, 25, 5};
    std::map<TeamName, TeamShare> teams;
};

/** Number of requests of each team. */
using TeamDemand = std::map<TeamName, std::uint32_t>;

/** Result of AdmissionPolicy::enqueue(). */
struct EnqueueResult {
    /** Set if the request was refused. */
    std::optional<Refusal> refusal;
    /** A queued request that was dropped to make room for the new one. */
    std::optional<TicketId> displaced;
};

/** A request that left the queue. */
struct Dequeued {
    TicketId id;
    /** Set if the request got no slot because its deadline can no longer be met. */
    std::optional<Refusal> refusal;
};

/** Interface of the rules by which requests get slots. */
class AdmissionPolicy
{
public:
    virtual ~AdmissionPolicy() = default;

    /** Applies a new setup; queued requests and requests in progress are kept. */
    virtual void configure(const AdmissionSetup &setup) = 0;
    /** Adds a request to the queue or refuses it. */
    virtual EnqueueResult enqueue(const Ticket &ticket, TimePoint now) = 0;
    /**
     * Removes the next request from the queue.
     * @return the request, or nothing if no slot is free or no queued request may get one
     */
    virtual std::optional<Dequeued> next(TimePoint now) = 0;
    /** Removes a queued request, for example once its caller has given up; ids that are not queued are ignored. */
    virtual void withdraw(TicketId id) = 0;
    /** Frees the slot of a request; ids that hold no slot are ignored. */
    virtual void finish(TicketId id) = 0;

    [[nodiscard]] virtual std::size_t queued() const = 0;
    [[nodiscard]] virtual std::size_t inProgress() const = 0;
    /** @return the number of requests of each team that are queued or in progress. */
    [[nodiscard]] virtual TeamDemand demand() const = 0;
};

/** First in, first out over all teams and urgencies; the baseline for comparisons. */
class FifoAdmission : public AdmissionPolicy
{
public:
    void configure(const AdmissionSetup &setup) override;
    EnqueueResult enqueue(const Ticket &ticket, TimePoint now) override;
    std::optional<Dequeued> next(TimePoint now) override;
    void withdraw(TicketId id) override;
    void finish(TicketId id) override;
    [[nodiscard]] std::size_t queued() const override;
    [[nodiscard]] std::size_t inProgress() const override;
    [[nodiscard]] TeamDemand demand() const override;

private:
    AdmissionSetup m_setup;
    std::deque<Ticket> m_queue;
    std::map<TicketId, TeamName> m_inProgress;
};

/** Whether fair queueing applies to teams only, or also to the callers within each team. */
enum class CallerFairness { PerTeamOnly, PerCaller };

/**
 * Serves teams below their guaranteed slots first, then urgency bands in proportion to their floors, then teams and
 * callers by start-time fair queueing, and the requests of a caller by earliest deadline first.
 */
class FairAdmission : public AdmissionPolicy
{
public:
    explicit FairAdmission(CallerFairness fairness = CallerFairness::PerCaller);

    void configure(const AdmissionSetup &setup) override;
    EnqueueResult enqueue(const Ticket &ticket, TimePoint now) override;
    std::optional<Dequeued> next(TimePoint now) override;
    void withdraw(TicketId id) override;
    void finish(TicketId id) override;
    [[nodiscard]] std::size_t queued() const override;
    [[nodiscard]] std::size_t inProgress() const override;
    [[nodiscard]] TeamDemand demand() const override;

private:
    using QueueKey = std::pair<TimePoint, TicketId>;

    /** Queued requests of one caller in one urgency band, the earliest deadline first. */
    struct CallerQueue {
        std::map<QueueKey, Ticket> tickets;
        double startTag = 0;     ///< in start-time fair queueing among the callers of the team
        Duration queuedWork {0}; ///< expected service time of the queued requests
    };

    /** Requests of one team in one urgency band. */
    struct TeamBand {
        std::map<CallerName, CallerQueue> callers;
        std::set<std::pair<double, CallerName>> backlogged; ///< callers with queued requests, by start tag
        /** Start tag of this team in start-time fair queueing among the teams. */
        double startTag = 0;
        /** Virtual time of start-time fair queueing among the callers of this team. */
        double virtualTime = 0;
        Duration queuedWork {0}; ///< expected service time of the queued requests
        std::size_t queued = 0;
        std::uint32_t inProgress = 0;
    };

    struct TeamState {
        TeamShare share;
        std::array<TeamBand, URGENCY_COUNT> bands;
        std::size_t queued = 0;
        std::uint32_t inProgress = 0;
    };

    /** The queue that a request is, or was, in. */
    struct QueueEntry {
        TeamName team;
        CallerName caller;
        std::size_t band = 0;
        TimePoint deadline;
    };

    /** @return the state of team @p name, which is added if it is new. */
    TeamState &teamState(const TeamName &name);
    /** @return the caller under which @p ticket is queued; one name for all callers under PerTeamOnly. */
    [[nodiscard]] CallerName queueName(const Ticket &ticket) const;
    [[nodiscard]] Duration expectedWait(const TeamState &team, const Ticket &ticket) const;
    /**
     * @return the slots that @p team gets by weight if it competes with all teams that have requests; at least one, and
     * at least its guaranteed slots
     */
    [[nodiscard]] double fairSlots(const TeamState &team) const;
    [[nodiscard]] bool mayDispatch(const TeamState &team) const;
    /**
     * Finds the request to drop from the full queue of @p team.
     * @return a request of the caller with the most queued requests, or nothing if no caller has more than @p newcomer
     */
    std::optional<TicketId> ticketToDisplace(const TeamState &team, const CallerName &newcomer) const;
    /**
     * @return the team that uses the smallest share of its guaranteed slots, of those below their guarantee that have a
     * request to dispatch; an empty name if there is none
     */
    TeamName pickGuaranteed() const;
    std::size_t pickBandOf(const TeamState &team) const;
    std::optional<std::size_t> pickBand() const;
    TeamName pickTeam(std::size_t band) const;
    void insert(TeamState &team, const Ticket &ticket);
    Ticket remove(const QueueEntry &where, TicketId id);
    /** Dequeues the next request of a team in a band; it gets a slot unless its deadline can no longer be met. */
    Dequeued dispatch(const TeamName &name, std::size_t band, TimePoint now);

    CallerFairness m_fairness;
    AdmissionSetup m_setup;
    std::map<TeamName, TeamState> m_teams;
    /** Virtual time of start-time fair queueing among the teams, by urgency band. */
    std::array<double, URGENCY_COUNT> m_virtualTime {};
    std::array<std::uint32_t, URGENCY_COUNT> m_bandInProgress {};
    std::unordered_map<TicketId, QueueEntry> m_queued;
    std::unordered_map<TicketId, QueueEntry> m_inProgress;
};

} // namespace Papaya
