#include "dispatch/stepplanner.h"

#include "dispatch/boottime.h"
#include "dispatch/leaseterms.h"
#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

// Take-over, minion entries, scheduling passes and the stops and starts that they decide.

namespace Papaya
{

namespace
{

constexpr std::int64_t HEARTBEAT_INTERVAL_MS = 200; // while nothing else is journaled
constexpr Millis PASS_DELAY {4};                    // collects events into one pass
// After a pass, none starts for this many times the duration of the pass, so that orders can be sent.
constexpr int PASS_BACKOFF_FACTOR = 6;
constexpr Millis MAX_PASS_BACKOFF {120};
constexpr std::int64_t STUCK_CHECK_INTERVAL_MS = 200;
constexpr std::int64_t MAX_ENTRY_AGE_MS = 600; // from the writing of an entry to its reading
constexpr std::int64_t FORGET_INTERVAL_MS = 1'000;
constexpr std::int64_t MINION_RETENTION_MS = 60'000;         // after its entry is removed; orders in flight end sooner
constexpr std::int64_t NEARLY_DONE_PERCENT = 85;             // units with at least this progress are not preempted
constexpr std::int64_t MAX_WALL_CLOCK_DIFFERENCE_MS = 2'000; // of a minion's host and a node

} // namespace

StepPlanner::StepPlanner(Context context, std::shared_ptr<JournalWriter> writer, Epoch epoch)
    : m_context(std::move(context))
    , m_writer(std::move(writer))
    , m_epoch(epoch)
    , m_fence(epoch)
    , m_passTimer(m_context.io)
    , m_takeoverMs(bootMillis())
{
}

std::shared_ptr<StepPlanner> StepPlanner::begin(Context context, std::shared_ptr<JournalWriter> writer,
                                                std::shared_ptr<JournalWriter> status, Epoch epoch,
                                                const std::map<MinionId, MinionEntry> &minions)
{
    std::shared_ptr<StepPlanner> planner(new StepPlanner(std::move(context), std::move(writer), epoch));
    for (const auto &[id, entry] : minions) {
        planner->minionListed(entry);
    }
    planner->adopt();
    logEvent(LogLevel::Info, "planner-begun",
             {{"epoch", epoch.value()},
              {"minions", std::uint64_t(minions.size())},
              {"placed", std::uint64_t(planner->m_assignments.size())},
              {"jobs", std::uint64_t(planner->m_context.jobTable.size())}});
    planner->requestPass();
    if (planner->m_context.machines != nullptr) {
        const Context &own = planner->m_context;
        UpkeepController::begin({own.io, *own.machines, std::shared_ptr<FleetAccess>(planner, planner.get()),
                                 own.jobTable, own.waves, own.codec, std::move(status), own.node, epoch, own.wallNow});
    }
    return planner;
}

/** Tracks every unit that the journal shows as placed, since it may be running. */
void StepPlanner::adopt()
{
    for (const auto &[id, entry] : m_context.jobTable.jobs()) {
        for (const UnitKey &unit : JobTable::unitsOf(entry)) {
            const UnitStatus &status = *m_context.jobTable.find(unit);
            if (status.state == UnitState::Placed) {
                adoptUnit(entry, unit, status);
            }
        }
    }
}

void StepPlanner::adoptUnit(const JobEntry &entry, const UnitKey &unit, const UnitStatus &status)
{
    const AssignmentPtr assignment = track(entry, unit, status);
    assignment->mayHaveBegun = true;
    bool partial = false;
    for (Member &member : assignment->members) {
        if (member.state == MemberState::Ended) {
            partial = true;
            continue;
        }
        // The first poll under the new fence shows whether it runs; until then it counts as running.
        member.state = MemberState::Running;
        member.confirmedMs = m_takeoverMs;
    }
    if (!entry.live()) {
        stopAssignment(assignment, "job-ended");
    } else if (partial) {
        assignment->outcome = EndKind::Unknown; // a failure has been counted by the predecessor
        applyOutcome(assignment);
    }
}

StepPlanner::AssignmentPtr StepPlanner::track(const JobEntry &entry, const UnitKey &unit, const UnitStatus &status)
{
    auto assignment = std::make_shared<Assignment>();
    assignment->unit = unit;
    assignment->team = entry.job.team;
    assignment->priority = entry.job.priority;
    assignment->step = entry.job.spec.steps[unit.step];
    assignment->need = countedNeed(assignment->step);
    assignment->run = status.run;
    assignment->checkpoint = status.checkpoint;
    assignment->startedMs = assignment->checkpointMs = bootMillis();
    for (const MinionId &minion : status.minions) {
        Member &member = assignment->members.emplace_back();
        member.minion = minion;
        if (minion.value().empty()) {
            member.state = MemberState::Ended;
            continue;
        }
        const auto [place, added] = m_links.try_emplace(minion);
        MinionLink &link = place->second;
        if (added) {
            link.entry.id = minion;
            link.fence = m_fence;
            link.listed = false;
            link.unlistedMs = bootMillis();
            link.priorLeaseUntilMs = priorLeaseEndMs(minion);
            link.silenceRecorded = m_context.jobTable.silences().contains(minion);
        }
        link.placed.push_back({assignment, assignment->members.size() - 1});
        link.used += assignment->need;
    }
    m_assignments[unit] = assignment;
    return assignment;
}

void StepPlanner::minionListed(const MinionEntry &entry)
{
    const auto [place, added] = m_links.try_emplace(entry.id);
    MinionLink &link = place->second;
    const bool isOther =
        !added && entry.startTimeMs != 0 && link.entry.startTimeMs != 0 && entry.startTimeMs != link.entry.startTimeMs;
    if (isOther && link.entryOutdated && entry.startTimeMs == link.formerStartTimeMs) {
        return; // written before the restart that a report has shown
    }
    if (added) {
        link.fence = m_fence;
        link.priorLeaseUntilMs = priorLeaseEndMs(entry.id);
        link.silenceRecorded = m_context.jobTable.silences().contains(entry.id);
        logEvent(LogLevel::Debug, "minion-listed", {{"minion", entry.id.value()}});
    } else if (isOther) {
        handleMinionRestart(link, entry.startTimeMs);
        if (!link.placed.empty()) {
            // A poll of the former instance may be in flight for seconds.
            Asio::co_spawn(m_context.io, pollRestarted(shared_from_this(), entry.id), Asio::detached);
        }
    }
    const bool changed = added || !link.listed || link.entryOutdated || link.entry.draining != entry.draining
                         || !(link.entry.capacity == entry.capacity);
    if (entry.draining && (!link.entry.draining || entry.remainingMs < link.entry.remainingMs)) {
        link.leavesAtMs = bootMillis() + entry.remainingMs - MAX_ENTRY_AGE_MS;
    }
    if (entry.draining && !link.entry.draining) {
        logEvent(LogLevel::Info, "minion-draining",
                 {{"minion", entry.id.value()},
                  {"remaining_ms", entry.remainingMs},
                  {"members", std::uint64_t(link.placed.size())}});
    }
    link.entry = entry;
    link.newestStartTimeMs = std::max(link.newestStartTimeMs, entry.startTimeMs);
    link.entryOutdated = false;
    link.listed = true;
    ensurePolling(link);
    if (changed) {
        requestPass();
    }
}

std::int64_t StepPlanner::priorLeaseEndMs(const MinionId &minion) const
{
    const auto silence = m_context.jobTable.silences().find(minion);
    const std::int64_t unknownEndMs = m_takeoverMs + PRIOR_LEASE_SPAN_MS;
    if (silence == m_context.jobTable.silences().end()) {
        return unknownEndMs;
    }
    const std::int64_t span = silence->second.spell > 0 ? LAST_LEASE_SPAN_MS : PRIOR_LEASE_SPAN_MS;
    return std::min(unknownEndMs, silence->second.readMs + span);
}

std::int64_t StepPlanner::provenPriorLeaseEndMs(const MinionLink &link) const
{
    const auto &silences = m_context.jobTable.silences();
    const auto silence = silences.find(link.entry.id);
    // The entry of a minion that is gone is removed, but a planner that has recorded its silence had read it.
    const std::int64_t recordedMs = silence == silences.end() ? 0 : silence->second.startTimeMs;
    const std::int64_t startTimeMs = link.entry.startTimeMs != 0 ? link.entry.startTimeMs : recordedMs;
    const bool precedesWork = std::all_of(link.placed.begin(), link.placed.end(), [&](const PlacedMember &placed) {
        const JobEntry *entry = m_context.jobTable.find(placed.assignment->unit.job);
        return entry != nullptr && startTimeMs + MAX_WALL_CLOCK_DIFFERENCE_MS < entry->job.submittedMs;
    });
    if (!m_context.priors || link.restarts > 0 || startTimeMs == 0 || !precedesWork) {
        return link.priorLeaseUntilMs;
    }
    std::int64_t renewalsEndMs = 0;
    for (const PriorPlanner &prior : *m_context.priors) {
        // The planner that has recorded the silence has not reached the minion, and none after it has granted a lease.
        const bool grantsNone =
            silence != silences.end() && silence->second.spell == 0 && prior.epoch >= silence->second.since;
        renewalsEndMs = std::max(renewalsEndMs, grantsNone ? 0 : prior.renewalsEndMs);
    }
    return std::min(link.priorLeaseUntilMs, renewalsEndMs + LAST_LEASE_SPAN_MS);
}

bool StepPlanner::seeksPriorRenewalsEnd(Epoch epoch) const
{
    return m_leading && m_context.priors
           && std::any_of(m_context.priors->begin(), m_context.priors->end(), [epoch](const PriorPlanner &prior) {
                  return prior.epoch == epoch && bootMillis() < prior.renewalsEndMs;
              });
}

void StepPlanner::priorRenewalsEnded(Epoch epoch, std::int64_t atMs)
{
    if (!m_context.priors) {
        return;
    }
    const std::int64_t now = bootMillis();
    for (PriorPlanner &prior : *m_context.priors) {
        if (prior.epoch == epoch && atMs < prior.renewalsEndMs) {
            prior.renewalsEndMs = atMs;
            logEvent(LogLevel::Info, "prior-renewals-ended",
                     {{"epoch", epoch.value()},
                      {"node", prior.node},
                      {"ended_ms_ago", now - atMs},
                      {"since_takeover_ms", now - m_takeoverMs}});
        }
    }
}

void StepPlanner::minionUnlisted(const MinionId &id)
{
    const auto found = m_links.find(id);
    if (found != m_links.end()) {
        logEvent(LogLevel::Info, "minion-unlisted",
                 {{"minion", id.value()}, {"members", std::uint64_t(found->second.placed.size())}});
        found->second.listed = false;
        found->second.unlistedMs = bootMillis();
    }
}

void StepPlanner::evacuationsChanged()
{
    requestPass();
}

void StepPlanner::jobChanged(const JobId &id)
{
    const JobEntry *entry = m_context.jobTable.find(id);
    // A job that has ended starts no unit, so that one look at its units is enough; each end of a unit calls this.
    if (entry != nullptr && !entry->live() && m_stoppedJobs.insert(id).second) {
        const UnitKey first {id, 0, 0, UnitKey::GANG}; // sorts before all other units of the job
        for (auto place = m_assignments.lower_bound(first); place != m_assignments.end(); ++place) {
            if (place->first.job != id) {
                break;
            }
            stopAssignment(place->second, "job-ended");
        }
    }
    requestPass();
}

void StepPlanner::tick()
{
    const std::int64_t now = bootMillis();
    m_load.tick(now, m_context.freshness());
    expireLeases();
    leaveDrainingMinions();
    if (now - m_lastStuckCheckMs >= STUCK_CHECK_INTERVAL_MS) {
        m_lastStuckCheckMs = now;
        moveStuckRuns();
    }
    refreshSpeeds(now);
    std::erase_if(m_links, [now](const auto &item) {
        const MinionLink &link = item.second;
        const bool unused = !link.listed && link.placed.empty() && !link.polling;
        return unused && now - link.unlistedMs > MINION_RETENTION_MS;
    });
    for (auto &[id, link] : m_links) {
        ensurePolling(link);
    }
    for (auto &[id, link] : m_links) {
        resumeStarts(link); // a start that has left the queue without an order frees no place by itself
    }
    sendQueuedStarts();
    noteWaits(now);
    recordSilences(now);
    recordMemberEnds(now);
    journalConfig(now);
    journalEvacuations(now);
    moveStrandedServices(now);
    refitInterference(now);
    if (now - m_lastForgetMs >= FORGET_INTERVAL_MS) {
        m_lastForgetMs = now;
        forgetEnded(now);
    }
    if (m_writer->idle() && now - std::max(m_lastHeartbeatMs, m_writer->lastStoredMs()) >= HEARTBEAT_INTERVAL_MS) {
        m_lastHeartbeatMs = now;
        m_pendingRecords.push_back(announcement(false));
        flushSoon();
    }
    requestPass();
}

void StepPlanner::resign(std::function<void()> done)
{
    logEvent(LogLevel::Info, "planner-resigns", {{"epoch", m_epoch.value()}});
    flush();
    m_leading = false;
    m_context.metrics.setWaiting({});
    const auto self = shared_from_this();
    m_writer->append({announcement(true)}, TimePoint::max(), [self, done = std::move(done)](AppendOutcome) { done(); });
}

void StepPlanner::stop()
{
    m_leading = false;
    m_context.metrics.setWaiting({});
    m_writer->stop();
}

void StepPlanner::stepDown(const char *reason)
{
    if (!m_leading) {
        return;
    }
    m_context.metrics.count(StepEvent::LeadershipLoss, reason);
    logEvent(LogLevel::Warning, "planner-lost", {{"epoch", m_epoch.value()}, {"reason", reason}});
    stop();
    m_context.onLeadershipLost(reason);
}

void StepPlanner::requestPass()
{
    if (m_passPosted || !m_leading) {
        return;
    }
    m_passPosted = true;
    m_passTimer.expires_at(std::max(Clock::now() + PASS_DELAY, m_nextPass));
    m_passTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        self->m_passPosted = false;
        if (!error && self->m_leading) {
            self->pass();
        }
    });
}

bool StepPlanner::isUsable(const MinionLink &link, std::int64_t nowMs) const
{
    return obstacleOn(link, nowMs).empty();
}

std::string_view StepPlanner::obstacleOn(const MinionLink &link, std::int64_t nowMs) const
{
    if (!link.listed) {
        return "unlisted";
    }
    if (link.entry.draining) {
        return "draining";
    }
    if (m_context.evacuations().inForce().contains(link.entry.place)) {
        return EVACUATED;
    }
    if (link.silenceRecorded) {
        return "silence-recorded";
    }
    if (link.pollFailures > 0) {
        return "silent";
    }
    if (link.entryOutdated) {
        return "restarted";
    }
    if (!link.fenceRaised || !link.clock.known()) {
        return "not-polled";
    }
    if (m_reserved.contains(link.entry.id)) {
        return RESERVED_FOR_UPKEEP;
    }
    if (nowMs < link.formerPollUntilMs) {
        return "former-poll";
    }
    if (nowMs < link.backOffUntilMs) {
        return "back-off";
    }
    return nowMs < link.probationUntilMs ? ON_PROBATION : std::string_view();
}

bool StepPlanner::isLastResort(const MinionLink &link, std::int64_t nowMs) const
{
    const std::string_view obstacle = obstacleOn(link, nowMs);
    // A reserved minion that runs nothing is about to go down, and so is one that has been vacated.
    const bool staysUp =
        !link.placed.empty() && !m_vacated.contains(link.entry.id) && !m_goingDown.contains(link.entry.id);
    return obstacle == ON_PROBATION || (obstacle == RESERVED_FOR_UPKEEP && staysUp);
}

bool StepPlanner::viewIsCurrent(Millis reserve) const
{
    return bootMillis() - m_context.freshness().asOfMs() <= (m_context.maxViewAge - reserve).count();
}

PlanInput StepPlanner::planInput(std::vector<MinionId> &ids) const
{
    const std::int64_t now = bootMillis();
    PlanInput input {m_context.jobTable,
                     *m_context.config(),
                     m_context.times,
                     m_tickets,
                     {},
                     {},
                     {},
                     m_avoid,
                     m_context.wallNow(),
                     now,
                     m_headroom,
                     &m_idleJobs};
    std::map<MinionId, std::size_t> places;
    for (const auto &[id, link] : m_links) {
        MinionView view;
        view.id = id;
        view.service = link.entry.service;
        view.rack = link.entry.rack;
        view.labels = link.entry.labels;
        view.capacity = link.entry.capacity;
        view.free = link.entry.capacity;
        view.free -= link.used;
        view.releasing = link.stopping;
        for (const UnitKey &stray : link.strays) {
            const JobEntry *entry = m_context.jobTable.find(stray.job);
            if (entry != nullptr && stray.step < entry->job.spec.steps.size()) {
                view.free -= countedNeed(entry->job.spec.steps[stray.step]);
                ++input.strays[stray.stepKey()][id];
            }
        }
        view.obstacle = obstacleOn(link, now);
        view.usable = view.obstacle.empty();
        view.lastResort = isLastResort(link, now);
        view.cold = link.entry.cold;
        view.slowness = m_speeds.level(id);
        view.penalty = link.runFailures;
        view.tasks = static_cast<std::uint32_t>(link.placed.size());
        places[id] = ids.size();
        ids.push_back(id);
        input.minions.push_back(std::move(view));
    }
    for (const auto &[unit, assignment] : m_assignments) {
        ActiveUnit active;
        active.key = unit;
        active.team = assignment->team;
        active.priority = assignment->priority;
        active.need = assignment->need;
        for (const Member &member : assignment->members) {
            if (member.state != MemberState::Ended) {
                active.minions.push_back(places.at(member.minion));
            }
        }
        if (!assignment->stopping) {
            const auto starting =
                std::count_if(assignment->members.begin(), assignment->members.end(),
                              [](const Member &member) { return member.state == MemberState::Ordered; });
            input.startWindow.add(unit.stepKey(), static_cast<std::size_t>(starting));
        }
        const UnitStatus *status = m_context.jobTable.find(unit);
        if (status != nullptr && status->state != UnitState::Placed) {
            for (const std::size_t place : active.minions) {
                ++input.strays[unit.stepKey()][ids[place]]; // done in an earlier run, and being stopped
            }
        }
        active.lossMs = assignment->lossMs(now);
        active.stopping = assignment->stopping || assignment->outcome.has_value();
        active.preemptible = !assignment->step.longRunning && assignment->percent < NEARLY_DONE_PERCENT;
        if (assignment->step.longRunning) {
            active.longRunning = true;
            active.availableTasks = tasksToLose(*assignment);
            if (assignment->step.maxUnavailable > 0) {
                const auto [budget, added] = input.budgets.try_emplace(unit.stepKey());
                if (added) {
                    budget->second = {assignment->step.maxUnavailable,
                                      unavailableTasks(unit.stepKey(), assignment->step)};
                }
            }
        } else if (!active.preemptible) {
            const QueueName &queue = m_context.jobTable.find(unit.job)->job.queue;
            const std::int64_t expectedMs = m_context.times.expectedMs(queue, assignment->step.estimate.count());
            active.remainingMs = remainingMs({now - assignment->startedMs, expectedMs, assignment->percent});
        }
        input.active.push_back(std::move(active));
    }
    if (m_context.evacuations().everRequested()) {
        input.preferences.push_back(&m_coldMinions);
    }
    if (m_interference.preference().active()) {
        input.preferences.push_back(&m_interference.preference());
    }
    if (m_speeds.uneven()) {
        input.preferences.push_back(&m_fastMinions);
    }
    for (const auto &[unit, until] : m_notBefore) {
        if (now < until) {
            input.heldBack.insert(unit);
        }
    }
    return input;
}

std::map<UnitKey, WaitExplanation> StepPlanner::explain(const JobId &job) const
{
    std::map<UnitKey, WaitExplanation> reasons;
    const JobEntry *entry = m_context.jobTable.find(job);
    if (entry == nullptr || m_context.config() == nullptr) {
        return reasons;
    }
    std::vector<MinionId> ids;
    const PlanInput input = planInput(ids);
    const WaitExplainer explainer(input);
    for (const UnitKey &unit : JobTable::unitsOf(*entry)) {
        if (m_context.jobTable.find(unit)->state != UnitState::Done) {
            reasons.emplace(unit, explainer.explain(unit));
        }
    }
    return reasons;
}

void StepPlanner::pass()
{
    if (m_context.config() == nullptr || !mayRenew()) {
        return;
    }
    if (!m_startQueue.empty() || !viewIsCurrent(SEND_RESERVE)) {
        ++m_load.counts.deferrals; // requested again by the next tick or once the queue is empty
        return;
    }
    const TimePoint begun = Clock::now();
    std::vector<MinionId> ids;
    updateKeepApart();
    const PlanDecisions decisions = planSteps(planInput(ids));
    m_windowFull = decisions.windowFull;
    m_load.counts.fullWindows += decisions.windowFull ? 1 : 0;
    const TimePoint decided = Clock::now();
    m_load.passEnded(decided - begun);
    m_lastPassMs = bootMillis();
    m_load.counts.preemptions += decisions.stops.size();
    m_load.counts.starts += decisions.starts.size();
    m_nextPass = decided + std::min<Duration>(PASS_BACKOFF_FACTOR * (decided - begun), MAX_PASS_BACKOFF);
    for (const UnitStop &stop : decisions.stops) {
        logEvent(LogLevel::Info, "unit-preempted",
                 {{"unit", stop.unit.toString()},
                  {"for", stop.beneficiary.toString()},
                  {"reclaimed", stop.reclaimed ? "yes" : "no"}});
        const AssignmentPtr &victim = m_assignments.at(stop.unit);
        const auto gpus = victim->need.gpus * static_cast<std::int64_t>(victim->members.size());
        m_headroom.preempted(victim->priority, gpus, bootMillis());
        stopAssignment(victim, stop.reclaimed ? "reclaimed" : "preempted");
    }
    for (const UnitStart &start : decisions.starts) {
        startUnit(start, ids);
    }
    requestAdmission(decisions.admissionQueries);
}

void StepPlanner::startUnit(const UnitStart &decision, const std::vector<MinionId> &ids)
{
    if (!m_context.jobTable.find(decision.unit.job)->live()) {
        return; // ended by another decision of the pass
    }
    UnitStatus status = *m_context.jobTable.find(decision.unit);
    status.state = UnitState::Placed;
    status.neverBegan = !status.hasBegun();
    ++status.run;
    status.minions.clear();
    for (const std::size_t m : decision.minions) {
        status.minions.push_back(ids[m]);
    }
    UnitStatus bare = status;
    bare.checkpoint.clear();
    if (!m_writer->fits(encodeRecord(UnitChanged {decision.unit, std::move(bare)}))) {
        // No record of a gang on so many minions can be stored.
        logEvent(LogLevel::Error, "unit-too-wide",
                 {{"unit", decision.unit.toString()}, {"members", std::uint64_t(status.minions.size())}});
        status.state = UnitState::Failed;
        status.minions.clear();
        record(decision.unit, std::move(status));
        jobChanged(decision.unit.job);
        return;
    }
    record(decision.unit, status);
    m_notBefore.erase(decision.unit);
    m_context.metrics.count(StepEvent::Placement, m_context.jobTable.find(decision.unit.job)->job.queue.value());
    const AssignmentPtr assignment = track(*m_context.jobTable.find(decision.unit.job), decision.unit, status);
    assignment->decidedMs = bootMillis();
    assignment->lastResort =
        std::any_of(assignment->members.begin(), assignment->members.end(), [&](const Member &member) {
            return isLastResort(m_links.at(member.minion), assignment->decidedMs);
        });
    m_idleJobs.started(decision.unit);
    m_admissionTurns.started(decision.unit.stepKey());
    m_pendingStarts.push_back(assignment);
    logEvent(LogLevel::Info, "unit-placed",
             {{"unit", decision.unit.toString()},
              {"run", std::uint64_t(status.run)},
              {"minion", status.minions.front().value()},
              {"members", std::uint64_t(status.minions.size())}});
}

void StepPlanner::stopAssignment(const AssignmentPtr &assignment, const char *reason)
{
    if (assignment->stopping) {
        return;
    }
    assignment->stopping = true;
    ++m_load.counts.stops;
    m_context.metrics.count(StepEvent::Stop, reason);
    logEvent(LogLevel::Info, "unit-stopped",
             {{"unit", assignment->unit.toString()}, {"run", std::uint64_t(assignment->run)}, {"reason", reason}});
    for (std::size_t i = 0; i < assignment->members.size(); ++i) {
        Member &member = assignment->members[i];
        if (member.state == MemberState::Ended) {
            continue;
        }
        m_links.at(member.minion).stopping += assignment->need;
        Asio::co_spawn(m_context.io, stopMember(shared_from_this(), assignment, i), Asio::detached);
    }
}

} // namespace Papaya
