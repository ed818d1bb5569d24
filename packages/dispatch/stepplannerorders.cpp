#include "dispatch/stepplanner.h"

#include "connection/waiter.h"
#include "dispatch/boottime.h"
#include "dispatch/leaseterms.h"
#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

// Orders to minions: starts, stops, and the looks that keep leases alive.

namespace Papaya
{

namespace
{

constexpr Millis LOOK_WAIT {1'500};      // for an end
constexpr Millis SHARED_LOOK_WAIT {500}; // where tasks that fill disturb tasks that serve
constexpr Millis LOOK_LIMIT {700};       // beyond the wait
constexpr Millis ORDER_LIMIT {700};
constexpr int START_TRIES = 2;
constexpr Millis LOOK_RETRY {150};
constexpr std::uint32_t RENEWALS_UNANSWERED = 1; // a look that was lost on a dead connection is repeated with its grant
constexpr Millis STORED_LIMIT {400};             // a renewal must not wait longer for the journal
constexpr Millis STORED_POLL {10};
constexpr Millis STOP_RETRY {300};
constexpr Millis STOP_CONFIRM {250};           // a stop takes up to 200 ms
constexpr std::int64_t REFUSED_PAUSE_MS = 500; // before a minion that refused a start is tried again
constexpr std::int64_t UNHEALTHY_PAUSE_MS = 2'000;

} // namespace

bool StepPlanner::mayRenew() const
{
    const std::int64_t heard = std::max(m_writer->lastStoredMs(), m_begunMs);
    return m_leading && bootMillis() - heard < RENEWAL_WINDOW_MS;
}

Asio::awaitable<void> StepPlanner::startMember(std::shared_ptr<StepPlanner> self, AssignmentPtr assignment,
                                               std::size_t index)
{
    Member &member = assignment->members[index];
    const JobEntry *entry = self->m_context.book.find(assignment->unit.job);
    StartOrder order;
    order.task = assignment->unit.taskName(static_cast<std::uint32_t>(index));
    order.run = assignment->run;
    order.payload = entry->job.spec.payload;
    order.checkpoint = assignment->checkpoint;
    order.ticket = self->m_tickets.ticket(assignment->unit.stepKey(), member.minion, bootMillis());
    order.fence = self->m_epoch;
    OrderAnswer answer;
    bool doubtful = false;
    for (int i = 0; i < START_TRIES && answer.outcome == OrderOutcome::NoAnswer; ++i) {
        doubtful = i > 0;
        if (!self->mayRenew() || assignment->stopping || member.state != MemberState::Ordered) {
            break;
        }
        MinionLink &link = self->m_links.at(member.minion);
        order.leaseUntilMs = link.clock.grant(bootMillis(), LEASE_MS);
        answer = co_await self->m_context.minionControl.start(link.entry, order, ORDER_LIMIT);
    }
    if (!self->m_leading) {
        co_return;
    }
    MinionLink &link = self->m_links.at(member.minion);
    if (answer.outcome != OrderOutcome::Done) {
        self->m_context.metrics.count(StepEvent::StartRefusal, toString(answer.outcome));
        logEvent(LogLevel::Info, "start-refused",
                 {{"task", order.task},
                  {"run", std::uint64_t(order.run)},
                  {"minion", member.minion.value()},
                  {"outcome", toString(answer.outcome)}});
    }
    const std::int64_t now = bootMillis();
    if (doubtful && answer.outcome != OrderOutcome::Done && answer.outcome != OrderOutcome::Fenced) {
        answer.outcome = OrderOutcome::NoAnswer; // a refusal of the second order says nothing about the first
    }
    switch (answer.outcome) {
    case OrderOutcome::Done:
        if (member.state == MemberState::Ordered) {
            member.state = MemberState::Running;
            member.confirmedMs = now;
            member.pacePercent = FillPace::FULL;
            if (self->m_startedJobs.insert(entry->job.id).second) {
                self->m_context.metrics.record(JobStage::Started, wallMillis() - entry->job.submittedMs);
            }
            assignment->checkpointMs = assignment->startedMs = now;
        }
        self->ensureWatched(link);
        break;
    case OrderOutcome::Fenced:
        self->leave("fenced-by-minion");
        break;
    case OrderOutcome::NoAnswer:
        // It may still be carried out; a stop that is answered rules that out.
        self->stopAssignment(assignment, "start-in-doubt");
        self->ensureWatched(link);
        break;
    case OrderOutcome::NoTicket:
        self->m_tickets.expire(assignment->unit.stepKey(), member.minion);
        self->memberGone(assignment, index, EndKind::Unknown);
        break;
    default:
        link.backOffUntilMs = now + (answer.outcome == OrderOutcome::Unhealthy ? UNHEALTHY_PAUSE_MS : REFUSED_PAUSE_MS);
        self->memberGone(assignment, index, EndKind::Unknown);
        break;
    }
}

Asio::awaitable<void> StepPlanner::stopMember(std::shared_ptr<StepPlanner> self, AssignmentPtr assignment,
                                              std::size_t index)
{
    Member &member = assignment->members[index];
    if (member.stopping) {
        co_return;
    }
    member.stopping = true;
    const std::string task = assignment->unit.taskName(static_cast<std::uint32_t>(index));
    while (self->m_leading && member.state != MemberState::Ended) {
        MinionLink &link = self->m_links.at(member.minion);
        if (!link.listed && !link.clock.known()) {
            co_await sleepFor(STOP_RETRY); // its address is not known
            continue;
        }
        const OrderAnswer answer =
            co_await self->m_context.minionControl.stop(link.entry, task, assignment->run, self->m_epoch, ORDER_LIMIT);
        if (!self->m_leading) {
            co_return;
        }
        if (answer.outcome == OrderOutcome::Fenced) {
            self->leave("fenced-by-minion");
            co_return;
        }
        if (answer.outcome == OrderOutcome::Done) {
            const bool doubtful = member.state == MemberState::Ordered;
            member.stopAnsweredMs = bootMillis();
            co_await sleepFor(STOP_CONFIRM);
            // The end is listed in the look that waits. A run that never came has none, so that one more look is
            // needed.
            if (doubtful && member.state != MemberState::Ended && self->m_leading) {
                co_await self->lookOnce(member.minion);
            }
        }
        co_await sleepFor(STOP_RETRY);
    }
}

Asio::awaitable<void> StepPlanner::stopStray(std::shared_ptr<StepPlanner> self, MinionId minion, std::string task,
                                             std::uint32_t run)
{
    const MinionEntry entry = self->m_links.at(minion).entry;
    const OrderAnswer answer =
        co_await self->m_context.minionControl.stop(entry, task, run, self->m_epoch, ORDER_LIMIT);
    logEvent(LogLevel::Info, "stray-stopped",
             {{"task", task},
              {"run", std::uint64_t(run)},
              {"minion", minion.value()},
              {"outcome", toString(answer.outcome)}});
}

void StepPlanner::ensureWatched(MinionLink &link)
{
    const bool needed = !link.placed.empty() || !link.fenceRaised || link.endsAcked < link.endsHandled;
    const bool reachable = link.listed || link.clock.known();
    if (!link.polling && needed && reachable && m_leading) {
        link.polling = true;
        Asio::co_spawn(m_context.io, watch(shared_from_this(), link.entry.id), Asio::detached);
    }
}

Asio::awaitable<void> StepPlanner::watch(std::shared_ptr<StepPlanner> self, MinionId id)
{
    while (self->m_leading) {
        const bool heard = co_await self->lookOnce(id);
        if (!self->m_leading) {
            co_return;
        }
        MinionLink &link = self->m_links.at(id);
        const bool pending = !link.placed.empty() || link.endsAcked < link.endsHandled;
        if (heard ? !pending : (link.placed.empty() && !link.listed)) {
            break;
        }
        if (!heard) {
            co_await sleepFor(LOOK_RETRY);
        } else if (link.endsStored < link.endsHandled) {
            // The next look would list the same ends again at once; waits for the journal, but not for long.
            const TimePoint limit = Clock::now() + STORED_LIMIT;
            while (link.endsStored < link.endsHandled && self->m_leading && Clock::now() < limit) {
                co_await sleepFor(STORED_POLL);
            }
        }
    }
    if (self->m_leading) {
        self->m_links.at(id).polling = false;
    }
}

Asio::awaitable<bool> StepPlanner::lookOnce(MinionId id)
{
    MinionLink *link = &m_links.at(id);
    const std::int64_t sent = bootMillis();
    PollOrder order;
    order.fence = m_epoch;
    order.ackUpTo = link->endsStored;
    // A minion that does not answer gets no further grants, so that what it may run lapses in time.
    if (!link->placed.empty() && link->clock.known() && link->pollFailures <= RENEWALS_UNANSWERED && mayRenew()) {
        order.leaseUntilMs = link->clock.grant(sent, LEASE_MS);
    }
    const bool calm =
        link->fenceRaised && link->pollFailures == 0 && link->endsStored == link->endsHandled && !link->placed.empty();
    const Millis calmWait = link->shared ? SHARED_LOOK_WAIT : LOOK_WAIT;
    order.wait = calm ? calmWait : Millis(0);
    const std::int64_t life = link->entry.startTimeMs;
    const PollAnswer answer = co_await m_context.minionControl.poll(link->entry, order, order.wait + LOOK_LIMIT);
    if (!m_leading) {
        co_return false;
    }
    link = &m_links.at(id);
    if (answer.outcome == OrderOutcome::Fenced) {
        leave("fenced-by-minion");
        co_return false;
    }
    if (answer.outcome != OrderOutcome::Done) {
        if (link->pollFailures++ == 0) {
            logEvent(LogLevel::Warning, "minion-silent",
                     {{"minion", id.value()},
                      {"outcome", toString(answer.outcome)},
                      {"members", std::uint64_t(link->placed.size())}});
        }
        co_return false;
    }
    if (link->entry.startTimeMs != life) {
        co_return false; // the report may be of the life before
    }
    if (link->pollFailures > 0) {
        logEvent(LogLevel::Info, "minion-heard",
                 {{"minion", id.value()}, {"failures", std::uint64_t(link->pollFailures)}});
        requestPass();
    }
    link->pollFailures = 0;
    const std::int64_t born = answer.report.startTimeMs;
    if (born != 0 && link->entry.startTimeMs != 0 && born != link->entry.startTimeMs) {
        newLife(*link);
        link->entry.startTimeMs = born;
    }
    link->clock.heard(answer.report.clockMs, bootMillis());
    link->endsAcked = std::max(link->endsAcked, order.ackUpTo);
    if (!link->fenceRaised) {
        link->fenceRaised = true;
        // A predecessor may have renewed just before the fence was raised, and never later.
        link->clock.grant(bootMillis(), LEASE_MS);
        requestPass();
    }
    handleReport(*link, answer.report, sent);
    co_return true;
}

} // namespace Papaya
