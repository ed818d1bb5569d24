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

// Admission decides which waiting request gets the next free slot, and which requests are refused instead of waiting
// in vain. It reads no clock and does no I/O.

namespace Papaya
{

/** Identity of a request within admission. */
using TicketId = Strong<struct TicketIdTag, std::uint64_t>;

/** A request that asks for a slot. */
struct Ticket {
    TicketId id;
    TeamName team;
    CallerName caller;
    Urgency urgency = Urgency::Normal;
    TimePoint deadline;
    /** Expected time in the slot; what fair queueing counts. */
    Duration expected {0};
    /** Time in the slot that is rarely exceeded; a request with less left would probably be cut after it has run. */
    Duration needed {0};
};

/** Share and limits of one team at this instance. */
struct TeamShare {
    std::uint32_t weight = 1;
    std::uint32_t guaranteedSlots = 0;
    TeamLimits limits;
};

/** What admission is given to share out. */
struct AdmissionSetup {
    std::uint32_t slots = 0;
    std::array<std::uint32_t, URGENCY_COUNT> floors {70, 25, 5};
    std::map<TeamName, TeamShare> teams;
};

/** Requests by team. */
using TeamDemand = std::map<TeamName, std::uint32_t>;

/** Result of asking for a slot. */
struct EnqueueResult {
    /** Set if the request was refused. */
    std::optional<Refusal> refusal;
    /** Another waiting request that had to go. */
    std::optional<TicketId> displaced;
};

/** A waiting request that left the queue: it got a slot, or its deadline can no longer be met. */
struct Dequeued {
    TicketId id;
    std::optional<Refusal> refusal;
};

/** How slots are shared out. */
class AdmissionPolicy
{
public:
    virtual ~AdmissionPolicy() = default;

    /** Takes a new setup; what waits or is in progress stays. */
    virtual void configure(const AdmissionSetup &setup) = 0;
    /** Adds a request to the queue or refuses it. */
    virtual EnqueueResult enqueue(const Ticket &ticket, TimePoint now) = 0;
    /** @return the next request that leaves the queue, or nothing while all slots are taken or nothing waits. */
    virtual std::optional<Dequeued> next(TimePoint now) = 0;
    /** Takes a request out of the queue whose caller gave up. */
    virtual void withdraw(TicketId id) = 0;
    /** Gives the slot of a request back. */
    virtual void finish(TicketId id) = 0;

    [[nodiscard]] virtual std::size_t queued() const = 0;
    [[nodiscard]] virtual std::size_t inProgress() const = 0;
    /** @return requests of each team that wait or are in progress. */
    [[nodiscard]] virtual TeamDemand demand() const = 0;
};

/** First in, first out over all teams and urgencies; the baseline. */
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

/** Whether callers of one team share its slots fairly, or only teams among each other. */
enum class CallerFairness { PerTeamOnly, PerCaller };

/**
 * Guaranteed teams first, then urgency bands by their floors, then teams and callers by start-time fair queueing, and
 * the earliest deadline first within a caller.
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

    /** Waiting requests of one caller in one band, the earliest deadline first. */
    struct CallerQueue {
        std::map<QueueKey, Ticket> tickets;
        double startTag = 0;
        Duration work {0};
    };

    /** Waiting requests of one team in one band. */
    struct TeamBand {
        std::map<CallerName, CallerQueue> callers;
        std::set<std::pair<double, CallerName>> backlogged; ///< by start tag
        double startTag = 0;
        double virtualTime = 0;
        Duration work {0};
        std::size_t queued = 0;
        std::uint32_t inProgress = 0;
    };

    struct TeamState {
        TeamShare share;
        std::array<TeamBand, URGENCY_COUNT> bands;
        std::size_t queued = 0;
        std::uint32_t inProgress = 0;
    };

    struct Waiting {
        TeamName team;
        CallerName caller;
        std::size_t band = 0;
        TimePoint deadline;
    };

    TeamState &teamState(const TeamName &name);
    [[nodiscard]] CallerName queueName(const Ticket &ticket) const;
    [[nodiscard]] Duration expectedWait(const TeamState &team, const Ticket &ticket) const;
    [[nodiscard]] double slotsOf(const TeamState &team) const;
    [[nodiscard]] bool mayDispatch(const TeamState &team) const;
    std::optional<TicketId> heaviestOther(const TeamState &team, const CallerName &newcomer) const;
    TeamName pickGuaranteed() const;
    std::size_t pickBandOf(const TeamState &team) const;
    std::optional<std::size_t> pickBand() const;
    TeamName pickTeam(std::size_t band) const;
    void insert(TeamState &team, const Ticket &ticket);
    Ticket remove(const Waiting &where, TicketId id);
    Dequeued dispatch(const TeamName &name, std::size_t band, TimePoint now);

    CallerFairness m_fairness;
    AdmissionSetup m_setup;
    std::map<TeamName, TeamState> m_teams;
    std::array<double, URGENCY_COUNT> m_virtualTime {};
    std::array<std::uint32_t, URGENCY_COUNT> m_bandInProgress {};
    std::unordered_map<TicketId, Waiting> m_waiting;
    std::unordered_map<TicketId, Waiting> m_inProgress;
};

} // namespace Papaya
