#include "dispatch/stepplanner.h"

#include "connection/waiter.h"
#include "dispatch/boottime.h"
#include "process/logging.h"
#include "steps/evacuation.h"
#include "steps/progresswatch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::int64_t LEASE_MS = 5'000;      // a hold that fails and one more take 3 s
constexpr std::int64_t RENEW_SPAN_MS = 8'000; // renewals go on for so long without the store
constexpr std::int64_t BLIND_MS = RENEW_SPAN_MS + LEASE_MS * 103 / 100 + 500; // an unseen predecessor's last lease
constexpr std::int64_t SIGN_MS = 400; // between signs of life while nothing else is journaled
constexpr Millis LOOK_WAIT {1'500};   // for an end
constexpr Millis LOOK_LIMIT {700};    // beyond the wait
constexpr Millis ORDER_LIMIT {700};
constexpr int START_TRIES = 2;
constexpr Millis LOOK_RETRY {150};
constexpr std::uint32_t RENEWALS_UNANSWERED = 1; // a look that was lost on a dead connection is repeated with its grant
constexpr Millis STOP_RETRY {300};
constexpr Millis STOP_CONFIRM {250}; // a stop takes up to 200 ms
constexpr Millis PASS_GAP {4};       // what comes within it shares a pass
constexpr std::int64_t NO_ROOM_PAUSE_MS = 500;
constexpr std::int64_t UNHEALTHY_PAUSE_MS = 2'000;
constexpr std::int64_t STRIKE_PAUSE_MS = 8'000;
constexpr std::uint32_t STRIKES = 2;       // failed runs in a row before a minion is left alone for a while
constexpr double PROBATION_SHARE = 0.25;   // of all minions, at most
constexpr std::int64_t ENTRY_LAG_MS = 600; // an entry may have been written so long before it was read
constexpr std::int64_t FORGET_INTERVAL_MS = 1'000;
constexpr std::int64_t STRAY_PAUSE_MS = 500;
constexpr std::int64_t RESTORE_MS = 600; // a stop saves the work of a task that checkpoints; resuming takes this long
constexpr std::int64_t NEARLY_DONE_PERCENT = 85; // beyond it work is not stopped for other work

} // namespace

StepPlanner::StepPlanner(Context context, std::shared_ptr<JournalWriter> writer, Epoch epoch)
    : m_context(std::move(context))
    , m_writer(std::move(writer))
    , m_epoch(epoch)
    , m_passTimer(m_context.io)
    , m_begunMs(bootMillis())
{
}

std::shared_ptr<StepPlanner> StepPlanner::begin(Context context, std::shared_ptr<JournalWriter> writer, Epoch epoch,
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
              {"jobs", std::uint64_t(planner->m_context.book.size())}});
    planner->requestPass();
    return planner;
}

/** Everything that the journal knows as placed may be running. */
void StepPlanner::adopt()
{
    for (const auto &[id, entry] : m_context.book.jobs()) {
        for (const UnitKey &unit : JobBook::unitsOf(entry)) {
            const UnitStatus &status = *m_context.book.find(unit);
            if (status.state == UnitState::Placed) {
                adoptUnit(entry, unit, status);
            }
        }
    }
}

void StepPlanner::adoptUnit(const JobEntry &entry, const UnitKey &unit, const UnitStatus &status)
{
    const AssignmentPtr assignment = track(entry, unit, status);
    for (Member &member : assignment->members) {
        // The first look after the fence was raised tells; until then it counts as running.
        member.state = MemberState::Running;
        member.confirmedMs = m_begunMs;
    }
    if (!entry.live()) {
        stopAssignment(assignment, "job-ended");
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
    assignment->startedMs = assignment->savedMs = bootMillis();
    for (const MinionId &minion : status.minions) {
        assignment->members.push_back({minion});
        const auto [place, added] = m_links.try_emplace(minion);
        MinionLink &link = place->second;
        if (added) {
            link.entry.id = minion;
            link.listed = false;
            link.blindUntilMs = m_begunMs + BLIND_MS;
        }
        ++link.members;
        link.used += assignment->need;
    }
    m_assignments[unit] = assignment;
    return assignment;
}

void StepPlanner::minionListed(const MinionEntry &entry)
{
    const auto [place, added] = m_links.try_emplace(entry.id);
    MinionLink &link = place->second;
    if (added) {
        link.blindUntilMs = m_begunMs + BLIND_MS;
        logEvent(LogLevel::Debug, "minion-listed", {{"minion", entry.id.value()}});
    } else if (entry.bornMs != 0 && link.entry.bornMs != 0 && entry.bornMs != link.entry.bornMs) {
        newLife(link);
    }
    const bool changed =
        added || !link.listed || link.entry.draining != entry.draining || !(link.entry.capacity == entry.capacity);
    if (entry.draining && (!link.entry.draining || entry.remainingMs < link.entry.remainingMs)) {
        link.leavesAtMs = bootMillis() + entry.remainingMs - ENTRY_LAG_MS;
    }
    if (entry.draining && !link.entry.draining) {
        logEvent(LogLevel::Info, "minion-draining",
                 {{"minion", entry.id.value()},
                  {"remaining_ms", entry.remainingMs},
                  {"members", std::uint64_t(link.members)}});
    }
    link.entry = entry;
    link.listed = true;
    ensureWatched(link);
    if (changed) {
        requestPass();
    }
}

void StepPlanner::minionUnlisted(const MinionId &id)
{
    const auto found = m_links.find(id);
    if (found != m_links.end()) {
        logEvent(LogLevel::Info, "minion-unlisted",
                 {{"minion", id.value()}, {"members", std::uint64_t(found->second.members)}});
        found->second.listed = false;
    }
}

void StepPlanner::jobChanged(const JobId &id)
{
    const JobEntry *entry = m_context.book.find(id);
    if (entry != nullptr && !entry->live()) {
        const UnitKey first {id, 0, 0, UnitKey::GANG}; // orders before every other unit of the job
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
    loseLapsed();
    evacuate();
    moveStuck();
    for (auto &[id, link] : m_links) {
        ensureWatched(link);
    }
    if (now - m_lastForgettingMs >= FORGET_INTERVAL_MS) {
        m_lastForgettingMs = now;
        forgetEnded(now);
    }
    if (m_writer->idle() && now - std::max(m_lastSignMs, m_writer->lastStoredMs()) >= SIGN_MS) {
        m_lastSignMs = now;
        m_records.push_back(encodeRecord(PlannerSign {m_epoch, m_context.node, false}));
        flushSoon();
    }
    requestPass();
}

void StepPlanner::resign(std::function<void()> done)
{
    logEvent(LogLevel::Info, "planner-resigns", {{"epoch", m_epoch.value()}});
    flush();
    m_leading = false;
    const auto self = shared_from_this();
    m_writer->append({encodeRecord(PlannerSign {m_epoch, m_context.node, true})}, TimePoint::max(),
                     [self, done = std::move(done)](AppendOutcome) { done(); });
}

void StepPlanner::stop()
{
    m_leading = false;
    m_writer->stop();
}

void StepPlanner::leave(const char *reason)
{
    if (!m_leading) {
        return;
    }
    logEvent(LogLevel::Warning, "planner-lost", {{"epoch", m_epoch.value()}, {"reason", reason}});
    stop();
    m_context.lost(reason);
}

// --- Decisions ---

void StepPlanner::requestPass()
{
    if (m_passPosted || !m_leading) {
        return;
    }
    m_passPosted = true;
    m_passTimer.expires_after(PASS_GAP);
    m_passTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        self->m_passPosted = false;
        if (!error && self->m_leading) {
            self->pass();
        }
    });
}

PlanInput StepPlanner::planInput(std::vector<MinionId> &ids)
{
    const std::int64_t now = bootMillis();
    PlanInput input {m_context.book, *m_context.config(), m_context.times, {}, {}, {}, m_avoid, wallMillis()};
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
        view.soon = link.stopping;
        view.usable = link.listed && !link.entry.draining && link.fenceRaised && link.clock.known()
                      && link.lookFailures == 0 && now >= link.heldBackUntilMs;
        view.penalty = link.strikes;
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
            if (member.state != MemberState::Gone) {
                active.minions.push_back(places.at(member.minion));
            }
        }
        active.lossMs = assignment->step.checkpointing ? RESTORE_MS : now - assignment->startedMs;
        active.stopping = assignment->stopping || assignment->outcome.has_value();
        active.stoppable = !assignment->step.longRunning && assignment->percent < NEARLY_DONE_PERCENT;
        input.active.push_back(std::move(active));
    }
    for (const auto &[unit, until] : m_notBefore) {
        if (now < until) {
            input.heldBack.insert(unit);
        }
    }
    return input;
}

void StepPlanner::pass()
{
    if (m_context.config() == nullptr || !mayRenew()) {
        return;
    }
    std::vector<MinionId> ids;
    const PlanDecisions decisions = planSteps(planInput(ids));
    for (const UnitStop &stop : decisions.stops) {
        logEvent(LogLevel::Info, "unit-preempted",
                 {{"unit", stop.unit.toString()}, {"for", stop.beneficiary.toString()}});
        stopAssignment(m_assignments.at(stop.unit), "preempted");
    }
    for (const UnitStart &start : decisions.starts) {
        startUnit(start, ids);
    }
}

void StepPlanner::startUnit(const UnitStart &decision, const std::vector<MinionId> &ids)
{
    UnitStatus status = *m_context.book.find(decision.unit);
    status.state = UnitState::Placed;
    ++status.run;
    status.minions.clear();
    for (const std::size_t m : decision.minions) {
        status.minions.push_back(ids[m]);
    }
    record(decision.unit, status);
    m_notBefore.erase(decision.unit);
    m_starts.push_back(track(*m_context.book.find(decision.unit.job), decision.unit, status));
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
    logEvent(LogLevel::Info, "unit-stopped",
             {{"unit", assignment->unit.toString()}, {"run", std::uint64_t(assignment->run)}, {"reason", reason}});
    for (std::size_t i = 0; i < assignment->members.size(); ++i) {
        Member &member = assignment->members[i];
        if (member.state == MemberState::Gone) {
            continue;
        }
        m_links.at(member.minion).stopping += assignment->need;
        Asio::co_spawn(m_context.io, stopMember(shared_from_this(), assignment, i), Asio::detached);
    }
}

// --- Orders ---

bool StepPlanner::mayRenew() const
{
    const std::int64_t heard = std::max(m_writer->lastStoredMs(), m_begunMs);
    return m_leading && bootMillis() - heard < RENEW_SPAN_MS;
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
        answer = co_await self->m_context.orders.start(link.entry, order, ORDER_LIMIT);
    }
    if (!self->m_leading) {
        co_return;
    }
    MinionLink &link = self->m_links.at(member.minion);
    if (answer.outcome != OrderOutcome::Done) {
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
            assignment->savedMs = assignment->startedMs = now;
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
    case OrderOutcome::NoRoom:
        link.heldBackUntilMs = now + NO_ROOM_PAUSE_MS;
        self->memberGone(assignment, index, EndKind::Unknown);
        break;
    case OrderOutcome::Unhealthy:
        link.heldBackUntilMs = now + UNHEALTHY_PAUSE_MS;
        self->memberGone(assignment, index, EndKind::Unknown);
        break;
    default:
        link.heldBackUntilMs = now + NO_ROOM_PAUSE_MS;
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
    while (self->m_leading && member.state != MemberState::Gone) {
        MinionLink &link = self->m_links.at(member.minion);
        if (!link.listed && !link.clock.known()) {
            co_await sleepFor(STOP_RETRY); // its address is not known
            continue;
        }
        const OrderAnswer answer =
            co_await self->m_context.orders.stop(link.entry, task, assignment->run, self->m_epoch, ORDER_LIMIT);
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
            if (doubtful && member.state != MemberState::Gone && self->m_leading) {
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
    const OrderAnswer answer = co_await self->m_context.orders.stop(entry, task, run, self->m_epoch, ORDER_LIMIT);
    logEvent(LogLevel::Info, "stray-stopped",
             {{"task", task},
              {"run", std::uint64_t(run)},
              {"minion", minion.value()},
              {"outcome", toString(answer.outcome)}});
}

void StepPlanner::ensureWatched(MinionLink &link)
{
    const bool needed = link.members > 0 || !link.fenceRaised || link.endsAcked < link.endsHandled;
    const bool reachable = link.listed || link.clock.known();
    if (!link.watched && needed && reachable && m_leading) {
        link.watched = true;
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
        const bool pending = link.members > 0 || link.endsAcked < link.endsHandled;
        if (heard ? !pending : (link.members == 0 && !link.listed)) {
            break;
        }
        if (!heard) {
            co_await sleepFor(LOOK_RETRY);
        } else if (link.endsStored < link.endsHandled) {
            // The next look would list the same ends again at once; waits for the journal, but not for long.
            for (int i = 0; i < 40 && link.endsStored < link.endsHandled && self->m_leading; ++i) {
                co_await sleepFor(Millis(10));
            }
        }
    }
    if (self->m_leading) {
        self->m_links.at(id).watched = false;
    }
}

Asio::awaitable<bool> StepPlanner::lookOnce(MinionId id)
{
    MinionLink *link = &m_links.at(id);
    const std::int64_t sent = bootMillis();
    LookOrder order;
    order.fence = m_epoch;
    order.endsSeen = link->endsStored;
    // A minion that does not answer gets no further grants, so that what it may run lapses in time.
    if (link->members > 0 && link->clock.known() && link->lookFailures <= RENEWALS_UNANSWERED && mayRenew()) {
        order.leaseUntilMs = link->clock.grant(sent, LEASE_MS);
    }
    const bool calm =
        link->fenceRaised && link->lookFailures == 0 && link->endsStored == link->endsHandled && link->members > 0;
    order.wait = calm ? LOOK_WAIT : Millis(0);
    const std::int64_t life = link->entry.bornMs;
    const LookAnswer answer = co_await m_context.orders.look(link->entry, order, order.wait + LOOK_LIMIT);
    if (!m_leading) {
        co_return false;
    }
    link = &m_links.at(id);
    if (answer.outcome == OrderOutcome::Fenced) {
        leave("fenced-by-minion");
        co_return false;
    }
    if (answer.outcome != OrderOutcome::Done) {
        if (link->lookFailures++ == 0) {
            logEvent(LogLevel::Warning, "minion-silent",
                     {{"minion", id.value()},
                      {"outcome", toString(answer.outcome)},
                      {"members", std::uint64_t(link->members)}});
        }
        co_return false;
    }
    if (link->entry.bornMs != life) {
        co_return false; // the report may be of the life before
    }
    if (link->lookFailures > 0) {
        logEvent(LogLevel::Info, "minion-heard",
                 {{"minion", id.value()}, {"failures", std::uint64_t(link->lookFailures)}});
        requestPass();
    }
    link->lookFailures = 0;
    const std::int64_t born = answer.report.bornMs;
    if (born != 0 && link->entry.bornMs != 0 && born != link->entry.bornMs) {
        newLife(*link);
        link->entry.bornMs = born;
    }
    link->clock.heard(answer.report.clockMs, bootMillis());
    link->endsAcked = std::max(link->endsAcked, order.endsSeen);
    if (!link->fenceRaised) {
        link->fenceRaised = true;
        // A predecessor may have renewed just before the fence was raised, and never later.
        link->clock.grant(bootMillis(), LEASE_MS);
        requestPass();
    }
    handleReport(*link, answer.report, sent);
    co_return true;
}

// --- Reports ---

StepPlanner::AssignmentPtr StepPlanner::findTask(const std::string &task, std::uint32_t run, std::size_t &index)
{
    UnitKey key;
    if (!UnitKey::parse(task, key)) {
        return nullptr;
    }
    index = 0;
    auto found = m_assignments.find(key);
    if (found == m_assignments.end()) {
        index = static_cast<std::size_t>(key.index);
        key.index = UnitKey::GANG;
        found = m_assignments.find(key);
    }
    const bool known =
        found != m_assignments.end() && found->second->run == run && index < found->second->members.size();
    return known ? found->second : nullptr;
}

void StepPlanner::handleReport(MinionLink &link, const MinionReport &report, std::int64_t sentMs)
{
    for (const EndedTask &end : report.ended) {
        if (end.number > link.endsHandled) {
            link.endsHandled = end.number;
            handleEnd(link, end);
        }
    }
    if (link.endsHandled > link.endsStored) {
        m_ends.emplace_back(link.entry.id, link.endsHandled);
        flushSoon();
    }
    handleRunning(link, report, sentMs);
}

void StepPlanner::handleEnd(MinionLink &link, const EndedTask &end)
{
    std::size_t index = 0;
    const AssignmentPtr assignment = findTask(end.task, end.run, index);
    logEvent(LogLevel::Info, "run-ended",
             {{"task", end.task},
              {"run", std::uint64_t(end.run)},
              {"minion", link.entry.id.value()},
              {"how", toString(end.kind)},
              {"known", assignment ? "yes" : "no"}});
    if (end.kind == EndKind::Done) {
        link.strikes = 0;
    } else if (end.kind == EndKind::Failed) {
        strike(link, bootMillis());
    }
    if (!assignment || assignment->members[index].minion != link.entry.id) {
        return;
    }
    if (!end.checkpoint.empty()) {
        assignment->checkpoint = end.checkpoint;
    }
    if (end.kind == EndKind::Failed) {
        m_avoid[assignment->unit].push_back(link.entry.id);
    }
    memberGone(assignment, index, end.kind);
}

void StepPlanner::strike(MinionLink &link, std::int64_t nowMs)
{
    const auto held = std::count_if(m_links.begin(), m_links.end(), [nowMs](const auto &item) {
        return item.second.strikes >= STRIKES && item.second.heldBackUntilMs > nowMs;
    });
    // Jobs that fail everywhere must not take the fleet away.
    if (++link.strikes >= STRIKES && double(held) < PROBATION_SHARE * double(m_links.size())) {
        link.heldBackUntilMs = nowMs + STRIKE_PAUSE_MS;
        logEvent(LogLevel::Warning, "minion-on-probation",
                 {{"minion", link.entry.id.value()}, {"strikes", std::uint64_t(link.strikes)}});
    }
}

void StepPlanner::handleRunning(MinionLink &link, const MinionReport &report, std::int64_t sentMs)
{
    const std::int64_t now = bootMillis();
    std::map<std::string, std::uint32_t> listed;
    for (const RunningTask &running : report.running) {
        std::size_t index = 0;
        const AssignmentPtr assignment = findTask(running.task, running.run, index);
        if (!assignment || assignment->members[index].minion != link.entry.id) {
            std::int64_t &last = m_strayStops[running.task];
            if (now - last >= STRAY_PAUSE_MS) {
                last = now;
                Asio::co_spawn(m_context.io, stopStray(shared_from_this(), link.entry.id, running.task, running.run),
                               Asio::detached);
            }
            continue;
        }
        listed[running.task] = running.run;
        assignment->percent = std::max(assignment->percent, running.percent);
        Member &member = assignment->members[index];
        if (running.percent > member.percent || member.reportedMs == 0) {
            member.percent = running.percent;
            member.risenMs = now;
        }
        member.reportedMs = now;
        if (!running.checkpoint.empty() && running.checkpoint != assignment->checkpoint) {
            assignment->checkpoint = running.checkpoint;
            assignment->savedMs = now;
        }
    }
    // What is not listed in a look that was sent after its start or stop was answered is not there.
    std::vector<std::pair<AssignmentPtr, std::size_t>> missing;
    for (const auto &[unit, assignment] : m_assignments) {
        for (std::size_t i = 0; i < assignment->members.size(); ++i) {
            const Member &member = assignment->members[i];
            const bool settled = (member.state == MemberState::Running && member.confirmedMs < sentMs)
                                 || (member.state == MemberState::Ordered && member.stopAnsweredMs > 0
                                     && member.stopAnsweredMs < sentMs);
            if (member.minion == link.entry.id && settled
                && !listed.contains(unit.taskName(static_cast<std::uint32_t>(i)))) {
                missing.emplace_back(assignment, i);
            }
        }
    }
    for (const auto &[assignment, index] : missing) {
        memberGone(assignment, index, EndKind::Unknown);
    }
}

void StepPlanner::newLife(MinionLink &link)
{
    logEvent(LogLevel::Warning, "minion-reborn",
             {{"minion", link.entry.id.value()}, {"members", std::uint64_t(link.members)}});
    std::vector<std::pair<AssignmentPtr, std::size_t>> lost;
    for (const auto &[unit, assignment] : m_assignments) {
        for (std::size_t i = 0; i < assignment->members.size(); ++i) {
            const Member &member = assignment->members[i];
            if (member.minion == link.entry.id && member.state != MemberState::Gone) {
                lost.emplace_back(assignment, i);
            }
        }
    }
    for (const auto &[assignment, index] : lost) {
        memberGone(assignment, index, EndKind::Unknown);
    }
    link.clock = MinionClock();
    link.fenceRaised = false;
    link.endsHandled = link.endsStored = link.endsAcked = 0;
    link.strikes = 0;
    std::erase_if(m_ends, [&](const auto &item) { return item.first == link.entry.id; });
}

void StepPlanner::memberGone(const AssignmentPtr &assignment, std::size_t index, EndKind kind)
{
    Member &member = assignment->members[index];
    if (member.state == MemberState::Gone) {
        return;
    }
    member.state = MemberState::Gone;
    MinionLink &link = m_links.at(member.minion);
    --link.members;
    link.used -= assignment->need;
    if (assignment->stopping) {
        link.stopping -= assignment->need;
    }
    const bool better = kind == EndKind::Done || kind == EndKind::Failed;
    if (!assignment->outcome || (better && *assignment->outcome != EndKind::Done)) {
        assignment->outcome = kind;
    }
    settle(assignment);
    requestPass();
}

void StepPlanner::settle(const AssignmentPtr &assignment)
{
    if (assignment->outcome == EndKind::Done) {
        if (!assignment->doneStored) {
            assignment->doneStored = true;
            UnitStatus status = *m_context.book.find(assignment->unit);
            status.state = assignment->step.longRunning ? UnitState::Placed : UnitState::Done;
            record(assignment->unit, std::move(status));
        }
    } else if (!assignment->ended()) {
        if (assignment->outcome == EndKind::Failed) {
            countFailure(assignment); // the end may be acknowledged long before the other members have ended
        }
        stopAssignment(assignment, "member-lost");
    }
    if (assignment->ended()) {
        finish(assignment);
    }
}

void StepPlanner::countFailure(const Assignment &assignment, UnitStatus &status)
{
    if (assignment.outcome == EndKind::Failed && !assignment.step.longRunning && status.failedRun != assignment.run) {
        ++status.failures;
        status.failedRun = assignment.run;
    }
}

void StepPlanner::countFailure(const AssignmentPtr &assignment)
{
    const UnitStatus &known = *m_context.book.find(assignment->unit);
    UnitStatus status = known;
    countFailure(*assignment, status);
    if (!(status == known)) {
        record(assignment->unit, std::move(status));
    }
}

void StepPlanner::finish(const AssignmentPtr &assignment)
{
    const UnitKey unit = assignment->unit;
    m_assignments.erase(unit);
    const bool done = assignment->outcome == EndKind::Done && !assignment->step.longRunning;
    const JobEntry *entry = m_context.book.find(unit.job);
    if (done || entry == nullptr) {
        m_avoid.erase(unit);
        jobChanged(unit.job);
        return;
    }
    UnitStatus status = *m_context.book.find(unit);
    status.state = UnitState::Waiting;
    status.minions.clear();
    status.checkpoint = assignment->checkpoint;
    countFailure(*assignment, status);
    if (status.failures >= entry->job.attempts && !assignment->step.longRunning) {
        status.state = UnitState::Failed;
        logEvent(LogLevel::Info, "unit-given-up",
                 {{"unit", unit.toString()}, {"failures", std::uint64_t(status.failures)}});
    }
    record(unit, std::move(status));
    jobChanged(unit.job);
}

void StepPlanner::loseLapsed()
{
    const std::int64_t now = bootMillis();
    std::vector<std::pair<AssignmentPtr, std::size_t>> lost;
    for (const auto &[unit, assignment] : m_assignments) {
        for (std::size_t i = 0; i < assignment->members.size(); ++i) {
            const Member &member = assignment->members[i];
            const MinionLink &link = m_links.at(member.minion);
            const bool lapsed =
                link.clock.known() ? link.lookFailures > 0 && link.clock.lapsed(now) : now > link.blindUntilMs;
            if (member.state != MemberState::Gone && lapsed) {
                lost.emplace_back(assignment, i);
            }
        }
    }
    for (const auto &[assignment, index] : lost) {
        logEvent(LogLevel::Warning, "lease-lapsed",
                 {{"unit", assignment->unit.toString()},
                  {"run", std::uint64_t(assignment->run)},
                  {"minion", assignment->members[index].minion.value()}});
        memberGone(assignment, index, EndKind::Lapsed);
    }
}

void StepPlanner::evacuate()
{
    const std::int64_t now = bootMillis();
    for (const auto &[unit, assignment] : m_assignments) {
        for (const Member &member : assignment->members) {
            const MinionLink &link = m_links.at(member.minion);
            if (!link.entry.draining || member.state != MemberState::Running || assignment->outcome) {
                continue;
            }
            const LeavingRun run {now - assignment->startedMs, assignment->percent, assignment->step.estimate.count(),
                                  link.leavesAtMs - now, assignment->step.checkpointing};
            if (shouldEvacuate(run)) {
                stopAssignment(assignment, "minion-leaves");
                break;
            }
        }
    }
}

void StepPlanner::moveStuck()
{
    const std::int64_t now = bootMillis();
    for (const auto &[unit, assignment] : m_assignments) {
        if (assignment->stopping || assignment->outcome || assignment->step.longRunning) {
            continue;
        }
        const QueueName &queue = m_context.book.find(unit.job)->job.queue;
        const std::int64_t plausible = m_context.times.plausibleMs(queue, assignment->step.estimate.count());
        for (const Member &member : assignment->members) {
            const RunProgress run {member.percent, member.reportedMs - member.risenMs, plausible};
            if (member.state != MemberState::Running || member.reportedMs == 0 || !isStuck(run)) {
                continue;
            }
            logEvent(LogLevel::Info, "run-stuck",
                     {{"unit", unit.toString()},
                      {"minion", member.minion.value()},
                      {"percent", run.percent},
                      {"still_ms", run.stillMs},
                      {"plausible_ms", plausible}});
            m_avoid[unit].push_back(member.minion);
            strike(m_links.at(member.minion), now);
            stopAssignment(assignment, "stuck");
            break;
        }
    }
}

// --- Journal ---

void StepPlanner::record(const UnitKey &unit, UnitStatus status)
{
    UnitChanged change {unit, std::move(status)};
    m_records.push_back(encodeRecord(change));
    m_context.times.observe(m_context.book.find(unit.job)->job, change, bootMillis());
    m_context.book.apply(change);
    flushSoon();
}

void StepPlanner::forgetEnded(std::int64_t nowMs)
{
    std::vector<JobId> old;
    for (const auto &[id, entry] : m_context.book.jobs()) {
        if (entry.live()) {
            continue;
        }
        const std::int64_t ended = m_endedMs.try_emplace(id, nowMs).first->second;
        const auto placed = m_assignments.lower_bound(UnitKey {id, 0, 0, UnitKey::GANG});
        const bool runs = placed != m_assignments.end() && placed->first.job == id;
        if (nowMs - ended >= m_context.keepEnded.count() && !runs) {
            old.push_back(id);
        }
    }
    for (const JobId &id : old) {
        const auto records = encodeForgetting(id, JobBook::unitsOf(*m_context.book.find(id)));
        m_records.insert(m_records.end(), records.begin(), records.end());
        m_context.book.apply(StepJobForgotten {id});
        m_endedMs.erase(id);
        flushSoon();
    }
    if (!old.empty()) {
        logEvent(LogLevel::Info, "jobs-forgotten", {{"jobs", std::uint64_t(old.size())}});
    }
}

void StepPlanner::flushSoon()
{
    if (m_flushPosted) {
        return;
    }
    m_flushPosted = true;
    Asio::post(m_context.io, [self = shared_from_this()] { self->flush(); });
}

void StepPlanner::flush()
{
    m_flushPosted = false;
    if (!m_leading) {
        return;
    }
    const auto stored = [self = shared_from_this(), ends = std::move(m_ends), starts = std::move(m_starts)] {
        for (const auto &[minion, number] : ends) {
            MinionLink &link = self->m_links.at(minion);
            link.endsStored = std::max(link.endsStored, std::min(number, link.endsHandled));
            self->ensureWatched(link);
        }
        for (const AssignmentPtr &assignment : starts) {
            for (std::size_t i = 0; i < assignment->members.size(); ++i) {
                Asio::co_spawn(self->m_context.io, startMember(self, assignment, i), Asio::detached);
            }
        }
    };
    m_ends.clear();
    m_starts.clear();
    if (m_records.empty() && m_writer->idle()) {
        stored(); // ends of runs that nobody knows need no record
        return;
    }
    if (m_records.empty()) {
        // What is on its way may hold earlier ends of the same minions; this comes behind it.
        m_records.push_back(encodeRecord(PlannerSign {m_epoch, m_context.node, false}));
    }
    m_writer->append(std::move(m_records), TimePoint::max(),
                     [self = shared_from_this(), stored](AppendOutcome outcome) {
                         if (outcome == AppendOutcome::Stored && self->m_leading) {
                             stored();
                         } else if (outcome == AppendOutcome::Fenced) {
                             self->leave("fenced-by-store");
                         }
                     });
    m_records.clear();
}

} // namespace Papaya
