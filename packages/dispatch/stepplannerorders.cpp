#include "dispatch/stepplanner.h"

#include "connection/waiter.h"
#include "dispatch/boottime.h"
#include "dispatch/leaseterms.h"
#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

// Calls to minions: starts, stops, and the polls that renew leases.

namespace Papaya
{

namespace
{

constexpr Millis POLL_WAIT {1'500};        // long poll for an end
constexpr Millis SHARED_POLL_WAIT {500};   // where best-effort tasks run beside services
constexpr Millis WATCH_POLL_WAIT {400};    // where a run has not progressed
constexpr Millis POLL_REPLY_TIMEOUT {700}; // beyond the wait
constexpr Millis ORDER_TIMEOUT {700};
constexpr int START_ATTEMPTS = 2;
// Start orders that wait for a connection or for their turn of the event loop. More would only age in its queue.
constexpr std::size_t MAX_UNSENT_STARTS = 96;
constexpr Millis POLL_RETRY_INTERVAL {150};
constexpr Millis JOURNAL_WAIT_LIMIT {400}; // so that the journal does not delay a renewal
constexpr Millis JOURNAL_POLL_INTERVAL {10};
constexpr Millis STOP_RETRY_INTERVAL {300};
constexpr Millis MAX_STOP_RETRY_INTERVAL {2'400}; // after stops that were answered
// After a report of many tasks, the next poll of the minion waits for as long as its handling has taken for each minion
// that is polled, so that polls leave time for everything else.
constexpr std::size_t TASKS_OF_LONG_REPORT = 100;
constexpr Millis MAX_POLL_PAUSE {400};           // well below the time in which leases are renewed
constexpr Millis STOP_CONFIRM_DELAY {250};       // a minion takes up to 200 ms to stop a run
constexpr std::int64_t REFUSED_BACKOFF_MS = 500; // after a refused start
constexpr std::int64_t UNHEALTHY_BACKOFF_MS = 2'000;
// After the start of an instance, orders to a former one may still be carried out late. Allows for clocks that differ.
constexpr std::int64_t YOUNG_INSTANCE_MS = 20'000;

} // namespace

std::int64_t StepPlanner::leaseBoundMs() const
{
    return bootMillis() + ORDER_TIMEOUT.count() + slowestLeaseMs(m_context.maxLease.count());
}

bool StepPlanner::mayGetFormerOrders(const MinionReport &report) const
{
    return report.startTimeMs == 0 || m_context.wallNow() - report.startTimeMs < YOUNG_INSTANCE_MS;
}

bool StepPlanner::hasFence(const MinionId &minion, Epoch fence) const
{
    const auto link = m_links.find(minion);
    return link == m_links.end() || link->second.fence == fence;
}

void StepPlanner::doubtInstance(MinionLink &link, Member &member)
{
    ++link.unverifiedStarts;
    member.unverifiedUntilMs = leaseBoundMs();
}

bool StepPlanner::mayRenew() const
{
    const std::int64_t lastContactMs = std::max(m_writer->lastStoredMs(), m_takeoverMs);
    return m_leading && bootMillis() - lastContactMs < RENEWAL_WINDOW_MS;
}

const char *StepPlanner::obstacleTo(const Assignment &assignment, const Member &member) const
{
    if (!m_leading || !mayRenew()) {
        return "not-leading";
    }
    if (assignment.stopping || member.state != MemberState::Ordered) {
        return "stopped";
    }
    const MinionLink &link = m_links.at(member.minion);
    if (link.entry.draining) {
        return "minion-draining";
    }
    if (m_context.evacuations().inForce().contains(link.entry.place)) {
        return "place-evacuated";
    }
    const std::int64_t now = bootMillis();
    if (!isUsable(link, now) && !(assignment.lastResort && isLastResort(link, now))) {
        return "minion-unusable";
    }
    return viewIsCurrent(Millis(0)) ? nullptr : "stale-view";
}

void StepPlanner::sendQueuedStarts()
{
    while (!m_startQueue.empty() && m_leading && m_unsentStarts < MAX_UNSENT_STARTS) {
        if (!viewIsCurrent(SEND_RESERVE)) {
            ++m_load.counts.deferrals;
            return;
        }
        const AssignmentPtr assignment = m_startQueue.front();
        m_startQueue.pop_front();
        const char *obstacle = nullptr;
        for (const Member &member : assignment->members) {
            obstacle = obstacle == nullptr ? obstacleTo(*assignment, member) : obstacle;
        }
        if (obstacle != nullptr) {
            withdraw(assignment, obstacle);
            continue;
        }
        if (MinionLink *saturated = saturatedMinion(*assignment)) {
            saturated->waitingStarts.push_back(assignment);
            continue;
        }
        const std::int64_t now = bootMillis();
        const Freshness freshness = m_context.freshness();
        logEvent(LogLevel::Info, "unit-ordered",
                 {{"unit", assignment->unit.toString()},
                  {"run", std::uint64_t(assignment->run)},
                  {"decided_ms", now - assignment->decidedMs},
                  {"minions_age_ms", now - freshness.minionsAsOfMs},
                  {"journal_age_ms", now - freshness.journalAsOfMs}});
        m_unsentStarts += assignment->members.size();
        for (std::size_t i = 0; i < assignment->members.size(); ++i) {
            ++m_links.at(assignment->members[i].minion).startsInFlight;
            Asio::co_spawn(m_context.io, startMember(shared_from_this(), assignment, i), Asio::detached);
        }
    }
    if (m_startQueue.empty()) {
        requestPass();
    }
}

MinionLink *StepPlanner::saturatedMinion(const Assignment &assignment)
{
    for (const Member &member : assignment.members) {
        MinionLink &link = m_links.at(member.minion);
        if (link.startsInFlight >= MinionLink::MAX_ORDERS_IN_FLIGHT) {
            return &link;
        }
    }
    return nullptr;
}

void StepPlanner::resumeStarts(MinionLink &link)
{
    const std::size_t room =
        MinionLink::MAX_ORDERS_IN_FLIGHT - std::min(MinionLink::MAX_ORDERS_IN_FLIGHT, link.startsInFlight);
    const auto count = static_cast<std::ptrdiff_t>(std::min(room, link.waitingStarts.size()));
    const auto end = link.waitingStarts.begin() + count;
    m_startQueue.insert(m_startQueue.begin(), link.waitingStarts.begin(), end);
    link.waitingStarts.erase(link.waitingStarts.begin(), end);
    sendQueuedStartsSoon();
}

bool StepPlanner::releaseStart(const AssignmentPtr &assignment, std::size_t index)
{
    Member &member = assignment->members[index];
    if (obstacleTo(*assignment, member) != nullptr) {
        return false;
    }
    ++m_load.counts.orders;
    m_context.metrics.recordStartAge(bootMillis() - m_context.freshness().asOfMs());
    if (!member.sent) {
        member.sent = true;
        --m_unsentStarts;
        sendQueuedStartsSoon();
    }
    return true;
}

void StepPlanner::sendQueuedStartsSoon()
{
    if (m_startQueue.empty() || m_sendPosted) {
        return;
    }
    m_sendPosted = true;
    Asio::post(m_context.io, [self = shared_from_this()] {
        self->m_sendPosted = false;
        self->sendQueuedStarts();
    });
}

void StepPlanner::withdraw(const AssignmentPtr &assignment, const char *reason)
{
    m_context.metrics.count(StepEvent::StartRefusal, reason);
    logEvent(LogLevel::Info, "start-withdrawn",
             {{"unit", assignment->unit.toString()}, {"run", std::uint64_t(assignment->run)}, {"reason", reason}});
    for (std::size_t i = 0; i < assignment->members.size(); ++i) {
        memberEnded(assignment, i, EndKind::Unknown);
    }
}

Asio::awaitable<OrderAnswer> StepPlanner::orderStart(std::shared_ptr<StepPlanner> self, AssignmentPtr assignment,
                                                     std::size_t index)
{
    Member &member = assignment->members[index];
    StartOrder order;
    order.task = assignment->unit.taskName(static_cast<std::uint32_t>(index));
    order.run = assignment->run;
    order.payload = self->m_context.jobTable.find(assignment->unit.job)->job.spec.payload;
    order.checkpoint = assignment->checkpoint;
    order.maySend = [self, assignment, index] { return self->releaseStart(assignment, index); };
    OrderAnswer answer;
    for (int i = 0; i < START_ATTEMPTS && answer.outcome == OrderOutcome::NoAnswer; ++i) {
        if (self->obstacleTo(*assignment, member) != nullptr) {
            answer.outcome = OrderOutcome::Withdrawn;
            break;
        }
        MinionLink &link = self->m_links.at(member.minion);
        order.fence = link.fence;
        order.ticket = self->m_tickets.ticket(assignment->unit.stepKey(), member.minion, bootMillis());
        const std::int64_t sent = bootMillis();
        order.leaseUntilMs = link.clock.grant(sent, LEASE_MS);
        answer = co_await self->m_context.minionControl.start(link.entry, order, ORDER_TIMEOUT);
        if (member.sent && self->m_leading) {
            MinionLink &present = self->m_links.at(member.minion);
            const bool expected = answer.clockMs && present.clock.agreesWith(*answer.clockMs, sent, bootMillis());
            if (!expected && (answer.outcome == OrderOutcome::Done || answer.outcome == OrderOutcome::NoAnswer)) {
                self->doubtInstance(present, member);
            }
        }
        if (answer.outcome == OrderOutcome::Fenced && !self->hasFence(member.minion, order.fence)) {
            answer.outcome = OrderOutcome::OtherIncarnation;
        }
        if (answer.outcome == OrderOutcome::NoAnswer) {
            self->m_links.at(member.minion).lateStartsUntilMs = bootMillis() + LATE_START_SPAN_MS;
        }
        if (i > 0 && answer.outcome != OrderOutcome::Done && answer.outcome != OrderOutcome::Fenced) {
            answer.outcome = OrderOutcome::NoAnswer; // the first attempt may still have started the run
        }
    }
    co_return answer;
}

Asio::awaitable<void> StepPlanner::startMember(std::shared_ptr<StepPlanner> self, AssignmentPtr assignment,
                                               std::size_t index)
{
    Member &member = assignment->members[index];
    OrderAnswer answer = co_await orderStart(self, assignment, index);
    if (!self->m_leading) {
        co_return;
    }
    MinionLink &link = self->m_links.at(member.minion);
    --link.startsInFlight;
    self->resumeStarts(link);
    if (self->m_windowFull) {
        self->requestPass();
    }
    member.orderedMs = bootMillis();
    if (!member.sent) {
        --self->m_unsentStarts;
        self->sendQueuedStartsSoon();
    } else if (answer.outcome == OrderOutcome::Withdrawn) {
        answer.outcome = OrderOutcome::NoAnswer; // the first attempt was sent
    }
    if (answer.outcome != OrderOutcome::Done) {
        self->m_context.metrics.count(StepEvent::StartRefusal, toString(answer.outcome));
        logEvent(LogLevel::Info, "start-refused",
                 {{"task", assignment->unit.taskName(static_cast<std::uint32_t>(index))},
                  {"run", std::uint64_t(assignment->run)},
                  {"minion", member.minion.value()},
                  {"outcome", toString(answer.outcome)}});
    }
    const std::int64_t now = bootMillis();
    switch (answer.outcome) {
    case OrderOutcome::Done:
        if (member.state == MemberState::Ordered) {
            member.state = MemberState::Running;
            assignment->mayHaveBegun = true;
            member.confirmedMs = now;
            member.pacePercent = FillPace::FULL;
            if (self->m_startedJobs.insert(assignment->unit.job).second) {
                const StepJob &job = self->m_context.jobTable.find(assignment->unit.job)->job;
                self->m_context.metrics.record(JobStage::Started, wallMillis() - job.submittedMs);
            }
            assignment->checkpointMs = assignment->startedMs = now;
            if (assignment->allStarted()) {
                self->watchProgress(*assignment, now);
            }
        }
        self->ensurePolling(link);
        break;
    case OrderOutcome::Fenced:
        self->stepDown("fenced-by-minion");
        break;
    case OrderOutcome::Withdrawn:
        self->memberEnded(assignment, index, EndKind::Unknown);
        break;
    case OrderOutcome::NoAnswer:
        // The start may still be carried out until the minion has confirmed a stop.
        self->stopAssignment(assignment, "start-in-doubt");
        self->ensurePolling(link);
        break;
    case OrderOutcome::NoTicket:
        self->m_tickets.expire(assignment->unit.stepKey(), member.minion);
        self->memberEnded(assignment, index, EndKind::Unknown);
        break;
    default:
        link.backOffUntilMs =
            now + (answer.outcome == OrderOutcome::Unhealthy ? UNHEALTHY_BACKOFF_MS : REFUSED_BACKOFF_MS);
        self->memberEnded(assignment, index, EndKind::Unknown);
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
    if (member.state == MemberState::Ordered && !member.sent) {
        // Its start will not be sent any more, see obstacleTo(). The caller may hold references to what this changes.
        co_await Asio::post(self->m_context.io, Asio::use_awaitable);
        if (self->m_leading) {
            self->memberEnded(assignment, index, EndKind::Unknown);
        }
        co_return;
    }
    const std::string task = assignment->unit.taskName(static_cast<std::uint32_t>(index));
    Millis interval = STOP_RETRY_INTERVAL;
    while (self->m_leading && member.state != MemberState::Ended) {
        MinionLink &link = self->m_links.at(member.minion);
        if (!link.listed && !link.clock.known()) {
            co_await sleepFor(STOP_RETRY_INTERVAL); // its address is unknown
            continue;
        }
        const bool answered = co_await orderStop(self, assignment, index, task);
        if (!self->m_leading) {
            co_return;
        }
        if (answered) {
            const bool inDoubt = member.state == MemberState::Ordered;
            // The first answer counts, as the order is repeated while a poll that confirms it is in flight.
            member.stopAnsweredMs = member.stopAnsweredMs > 0 ? member.stopAnsweredMs : bootMillis();
            co_await sleepFor(STOP_CONFIRM_DELAY);
            // The long poll lists the end. A run that was never started has no end, so that another poll is needed to
            // confirm its absence.
            if (inDoubt && member.state != MemberState::Ended && self->m_leading) {
                self->confirmStop(self->m_links.at(member.minion));
            }
        }
        co_await sleepFor(interval);
        // A minion that has answered needs the order once more only if it has restarted.
        const bool settled = answered && member.state == MemberState::Running;
        interval = settled ? std::min(2 * interval, MAX_STOP_RETRY_INTERVAL) : STOP_RETRY_INTERVAL;
    }
}

Asio::awaitable<bool> StepPlanner::orderStop(std::shared_ptr<StepPlanner> self, AssignmentPtr assignment,
                                             std::size_t index, std::string task)
{
    const Member &member = assignment->members[index];
    const std::shared_ptr<CallSlots> slots = self->m_links.at(member.minion).stopSlots;
    const CallSlots::Permit permit = co_await slots->acquire();
    if (!self->m_leading || member.state == MemberState::Ended) {
        co_return false;
    }
    const MinionLink &link = self->m_links.at(member.minion);
    ++self->m_load.counts.orders;
    const Epoch fence = link.fence;
    const OrderAnswer answer =
        co_await self->m_context.minionControl.stop(link.entry, task, assignment->run, fence, ORDER_TIMEOUT);
    if (self->m_leading && answer.outcome == OrderOutcome::Fenced && self->hasFence(member.minion, fence)) {
        self->stepDown("fenced-by-minion");
    }
    co_return answer.outcome == OrderOutcome::Done;
}

void StepPlanner::confirmStop(MinionLink &link)
{
    link.confirmAgain = true;
    if (!link.confirming) {
        link.confirming = true;
        Asio::co_spawn(m_context.io, confirmStops(shared_from_this(), link.entry.id), Asio::detached);
    }
}

Asio::awaitable<void> StepPlanner::confirmStops(std::shared_ptr<StepPlanner> self, MinionId id)
{
    while (self->m_leading && self->m_links.at(id).confirmAgain) {
        self->m_links.at(id).confirmAgain = false;
        co_await self->pollOnce(id, PollKind::Immediate);
    }
    if (self->m_leading) {
        self->m_links.at(id).confirming = false;
    }
}

Asio::awaitable<void> StepPlanner::stopUnknownRun(std::shared_ptr<StepPlanner> self, MinionId minion, std::string task,
                                                  std::uint32_t run)
{
    const std::shared_ptr<CallSlots> slots = self->m_links.at(minion).stopSlots;
    const CallSlots::Permit permit = co_await slots->acquire();
    if (!self->m_leading || !self->m_links.contains(minion)) {
        co_return;
    }
    const MinionLink &link = self->m_links.at(minion);
    const MinionEntry entry = link.entry;
    const OrderAnswer answer = co_await self->m_context.minionControl.stop(entry, task, run, link.fence, ORDER_TIMEOUT);
    logEvent(LogLevel::Info, "stray-stopped",
             {{"task", task},
              {"run", std::uint64_t(run)},
              {"minion", minion.value()},
              {"outcome", toString(answer.outcome)}});
}

void StepPlanner::ensurePolling(MinionLink &link)
{
    // Only an answered poll lets a minion that was silent get work again, so one that is listed is polled until then.
    const bool silent = link.listed && link.pollFailures > 0;
    const bool needed = link.awaitsReport(bootMillis()) || silent;
    const bool mayReturn = link.addressCovered && bootMillis() < link.lateStartsUntilMs;
    const bool reachable = link.listed || link.clock.known() || mayReturn;
    if (!link.polling && needed && reachable && m_leading) {
        link.polling = true;
        Asio::co_spawn(m_context.io, pollLoop(shared_from_this(), link.entry.id), Asio::detached);
    }
}

Asio::awaitable<void> StepPlanner::pollLoop(std::shared_ptr<StepPlanner> self, MinionId id)
{
    while (self->m_leading) {
        const bool answered = co_await self->pollOnce(id);
        if (!self->m_leading) {
            co_return;
        }
        MinionLink &link = self->m_links.at(id);
        if (answered ? !link.awaitsReport(bootMillis()) : (link.placed.empty() && !link.listed)) {
            break;
        }
        if (answered && link.pollPause > Millis(0)) {
            co_await sleepFor(link.pollPause);
        }
        if (!answered) {
            co_await sleepFor(POLL_RETRY_INTERVAL);
        } else if (link.endsAcked < link.endsHandled) {
            // Until the ends can be acknowledged, a poll would return at once with the same ends.
            const TimePoint deadline = Clock::now() + JOURNAL_WAIT_LIMIT;
            const auto mustWait = [&link] { return link.endsStored < link.endsHandled || link.hasStartInFlight(); };
            while (mustWait() && self->m_leading && Clock::now() < deadline) {
                co_await sleepFor(JOURNAL_POLL_INTERVAL);
            }
        }
    }
    if (self->m_leading) {
        self->m_links.at(id).polling = false;
    }
}

Asio::awaitable<void> StepPlanner::pollRestarted(std::shared_ptr<StepPlanner> self, MinionId id)
{
    co_await self->pollOnce(id);
}

Millis StepPlanner::pollPause(const MinionReport &report, Duration handling) const
{
    // More ends wait behind a full page, and the minion lists fewer tasks once they are acknowledged.
    if (report.running.size() < TASKS_OF_LONG_REPORT || report.mayHaveMoreEnds) {
        return Millis(0);
    }
    const auto polled =
        std::count_if(m_links.begin(), m_links.end(), [](const auto &item) { return item.second.polling; });
    return std::min(std::chrono::duration_cast<Millis>(handling * polled), MAX_POLL_PAUSE);
}

void StepPlanner::longPollEnded(MinionLink &link, std::uint64_t knownRestarts)
{
    if (link.restarts == knownRestarts) {
        link.ackPollUntilMs = 0;
    } else if (link.restarts == knownRestarts + 1) {
        link.formerPollUntilMs = 0;
        requestPass();
    }
}

PollOrder StepPlanner::pollOrder(MinionLink &link, PollKind kind, std::int64_t nowMs)
{
    PollOrder order;
    order.fence = link.fence;
    // Acknowledged once, as an instance that was not expected may forget its own ends up to this number.
    order.ackUpTo = link.mayAcknowledge() && link.endsAcked < link.endsStored ? link.endsStored : 0;
    // Leases of a minion that does not answer are not renewed, so that they expire.
    if (!link.placed.empty() && link.clock.known() && !link.silenceRecorded
        && link.pollFailures <= MAX_UNANSWERED_RENEWALS && mayRenew()) {
        order.leaseUntilMs = link.clock.grant(nowMs, LEASE_MS);
    }
    const bool upToDate = link.fenceRaised && link.pollFailures == 0 && link.endsStored == link.endsHandled;
    const bool mayWait =
        kind == PollKind::Waiting && upToDate && (!link.placed.empty() || nowMs < link.lateStartsUntilMs);
    const Millis steadyWait = link.shared ? SHARED_POLL_WAIT : POLL_WAIT;
    const Millis longWait = hasQuietRun(link) ? std::min(WATCH_POLL_WAIT, steadyWait) : steadyWait;
    order.wait = mayWait ? longWait : Millis(0);
    return order;
}

void StepPlanner::pollFailed(MinionLink &link, OrderOutcome outcome, const Endpoint &address, std::int64_t sentMs)
{
    if (link.pollFailures++ == 0) {
        logEvent(LogLevel::Warning, "minion-silent",
                 {{"minion", link.entry.id.value()},
                  {"outcome", toString(outcome)},
                  {"members", std::uint64_t(link.placed.size())}});
    }
    checkAddress(link);
    if (outcome == OrderOutcome::OtherIncarnation && link.hasLatestAddress() && link.entry.address == address) {
        endReplaced(link, sentMs);
    }
}

void StepPlanner::fenceAnswered(MinionLink &link, Epoch fence, const MinionReport &report)
{
    // A predecessor may have renewed the lease until just before the fence was raised, but no later. A lease that was
    // granted by the clock of a former instance is only limited by the minion.
    const bool former = link.restarts > 0 || mayGetFormerOrders(report);
    link.clock.grant(bootMillis(), former ? m_context.maxLease.count() : LEASE_MS);
    link.fenceRaised = fence == link.fence; // not if this answer has shown a restart
    if (link.fenceRaised) {
        // No poll that was sent before begins from now on.
        link.formerPollUntilMs = std::min(link.formerPollUntilMs, bootMillis() + POLL_WAIT.count());
    }
    requestPass();
}

Asio::awaitable<bool> StepPlanner::pollOnce(MinionId id, PollKind kind)
{
    MinionLink *link = &m_links.at(id);
    const std::int64_t sent = bootMillis();
    ++m_load.counts.polls;
    const PollOrder order = pollOrder(*link, kind, sent);
    const bool mayHideEnds = order.ackUpTo > 0 && order.wait > Millis(0);
    if (mayHideEnds) {
        link->ackPollUntilMs = sent + LATE_START_SPAN_MS + order.wait.count();
    }
    const std::uint64_t coveredStarts = link->unverifiedStarts;
    const std::uint64_t knownRestarts = link->restarts;
    const Endpoint address = link->entry.address;
    const PollAnswer answer =
        co_await m_context.minionControl.poll(link->entry, order, order.wait + POLL_REPLY_TIMEOUT);
    if (!m_leading) {
        co_return false;
    }
    link = &m_links.at(id);
    if (mayHideEnds && answer.outcome != OrderOutcome::NoAnswer) {
        longPollEnded(*link, knownRestarts);
    }
    if (link->restarts != knownRestarts) {
        co_return false; // of the former instance
    }
    if (answer.outcome == OrderOutcome::Fenced) {
        stepDown("fenced-by-minion");
        co_return false;
    }
    if (answer.outcome != OrderOutcome::Done) {
        pollFailed(*link, answer.outcome, address, sent);
        co_return false;
    }
    if (link->pollFailures > 0) {
        logEvent(LogLevel::Info, "minion-heard",
                 {{"minion", id.value()}, {"failures", std::uint64_t(link->pollFailures)}});
        requestPass();
    }
    link->pollFailures = 0;
    if (link->silenceRecorded) {
        withdrawSilence(*link);
    }
    const std::int64_t reportedStartTimeMs = answer.report.startTimeMs;
    if (reportedStartTimeMs != 0 && link->entry.startTimeMs != 0 && reportedStartTimeMs != link->entry.startTimeMs) {
        handleMinionRestart(*link, reportedStartTimeMs);
    } else {
        link->endsAcked = std::max(link->endsAcked, order.ackUpTo);
    }
    link->verifiedStarts = std::max(link->verifiedStarts, coveredStarts);
    link->clock.addReading(answer.report.clockMs, bootMillis());
    if (!link->fenceRaised) {
        fenceAnswered(*link, order.fence, answer.report);
    }
    const TimePoint received = Clock::now();
    handleReport(*link, answer.report, sent);
    link->pollPause = pollPause(answer.report, Clock::now() - received);
    co_return true;
}

} // namespace Papaya
