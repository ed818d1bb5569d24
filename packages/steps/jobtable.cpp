#include "steps/jobtable.h"

#include <algorithm>
#include <utility>

namespace Papaya
{

namespace
{

OccurrenceProgress emptyOccurrence(const JobSpec &spec)
{
    OccurrenceProgress progress;
    for (const StepSpec &step : spec.steps) {
        progress.steps.emplace_back().units.resize(step.gang ? 1 : step.count);
    }
    return progress;
}

/** @return the index of @p key among the units of its step. */
std::size_t unitIndex(const UnitKey &key)
{
    return key.index == UnitKey::GANG ? 0 : static_cast<std::size_t>(key.index);
}

bool isDone(const UnitStatus &status, bool longRunning)
{
    return status.state == UnitState::Done && !longRunning;
}

/** Adds @p sign to each count that a unit with @p status belongs to. */
void count(UnitCounts &counts, const UnitStatus &status, bool longRunning, int sign)
{
    const auto add = [sign](std::uint32_t &number, bool applies) {
        number += applies ? static_cast<std::uint32_t>(sign) : 0U;
    };
    add(counts.left, !isDone(status, longRunning));
    add(counts.failed, status.state == UnitState::Failed);
    add(counts.started, status.run > 0);
    add(counts.begun, status.hasBegun());
}

StepJobState stateOf(const UnitCounts &units, bool cancelled)
{
    // A job whose units are all done stays completed, even if a cancellation arrives afterwards.
    if (units.left == 0) {
        return StepJobState::Completed;
    }
    if (cancelled) {
        return StepJobState::Cancelled;
    }
    if (units.failed > 0) {
        return StepJobState::Failed;
    }
    return units.started > 0 ? StepJobState::Running : StepJobState::Queued;
}

} // namespace

std::string_view toString(StepJobState state)
{
    switch (state) {
    case StepJobState::Queued:
        return "queued";
    case StepJobState::Running:
        return "running";
    case StepJobState::Completed:
        return "completed";
    case StepJobState::Failed:
        return "failed";
    case StepJobState::Cancelled:
        break;
    }
    return "cancelled";
}

StepJobState JobEntry::state() const
{
    return stateOf(units, cancelled);
}

bool JobEntry::live() const
{
    return !cancelled && units.failed == 0 && units.left > 0;
}

std::int64_t JobEntry::dueMs(std::uint32_t occurrence) const
{
    const Timetable &times = job.spec.timetable;
    return times.runs == 0 ? 0 : times.firstRunMs + times.intervalMs * occurrence;
}

bool JobEntry::dependenciesDone(std::uint32_t occurrence, std::uint32_t step) const
{
    const OccurrenceProgress &progress = occurrences[occurrence];
    return std::all_of(
        job.spec.steps[step].dependencies.begin(), job.spec.steps[step].dependencies.end(),
        [&](std::uint32_t earlier) { return progress.steps[earlier].done == progress.steps[earlier].units.size(); });
}

void JobTable::apply(const JobRecord &record)
{
    if (const auto *submission = std::get_if<StepJobSubmitted>(&record)) {
        applySubmission(submission->job);
    } else if (const auto *cancellation = std::get_if<StepJobCancelled>(&record)) {
        const auto found = m_jobs.find(cancellation->job);
        if (found == m_jobs.end()) {
            m_pendingRecords[cancellation->job].push_back(record);
            return;
        }
        found->second.cancelled = true;
        updateLive(found->second);
    } else if (const auto *change = std::get_if<UnitChanged>(&record)) {
        if (!m_jobs.contains(change->unit.job)) {
            m_pendingRecords[change->unit.job].push_back(record);
            return;
        }
        applyUnitChange(change->unit, change->status);
    } else if (const auto *forgotten = std::get_if<StepJobForgotten>(&record)) {
        forget(forgotten->job);
    } else if (const auto *wave = std::get_if<WaveProgress>(&record)) {
        m_waves[wave->number] = *wave;
    } else if (const auto *heartbeat = std::get_if<PlannerAnnouncement>(&record)) {
        if (heartbeat->epoch >= m_planner.epoch) {
            m_planner = *heartbeat;
        }
        m_strongestMilliCores = std::max(m_strongestMilliCores, heartbeat->milliCores);
    }
}

void JobTable::applySubmission(const StepJob &job)
{
    const auto [place, added] = m_jobs.try_emplace(job.id);
    if (!added) {
        return;
    }
    JobEntry &entry = place->second;
    entry.job = job;
    entry.occurrences.assign(job.spec.occurrences(), emptyOccurrence(job.spec));
    for (const StepProgress &step : entry.occurrences[0].steps) {
        entry.units.left += static_cast<std::uint32_t>(step.units.size()) * job.spec.occurrences();
    }
    updateLive(entry);
    if (const auto pending = m_pendingRecords.extract(job.id)) {
        for (const JobRecord &record : pending.mapped()) {
            apply(record);
        }
    }
}

void JobTable::forget(const JobId &id)
{
    m_pendingRecords.erase(id);
    for (auto place = m_unstored.lower_bound({id, 0, 0, UnitKey::GANG});
         place != m_unstored.end() && place->first.job == id;) {
        place = m_unstored.erase(place);
    }
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end()) {
        m_live.erase(std::make_pair(found->second.job.submittedMs, id));
        m_jobs.erase(found);
    }
}

std::vector<UnitKey> JobTable::unitsOf(const JobEntry &entry)
{
    std::vector<UnitKey> units;
    for (std::uint32_t k = 0; k < entry.occurrences.size(); ++k) {
        for (std::uint32_t s = 0; s < entry.occurrences[k].steps.size(); ++s) {
            const bool gang = entry.job.spec.steps[s].gang;
            for (std::size_t i = 0; i < entry.occurrences[k].steps[s].units.size(); ++i) {
                units.push_back({entry.job.id, k, s, gang ? UnitKey::GANG : static_cast<std::int32_t>(i)});
            }
        }
    }
    return units;
}

void JobTable::applyUnitChange(const UnitKey &key, const UnitStatus &status)
{
    if (find(key) == nullptr) {
        return;
    }
    JobEntry &entry = m_jobs.at(key.job);
    StepProgress &step = entry.occurrences[key.occurrence].steps[key.step];
    UnitStatus &unit = step.units[unitIndex(key)];
    const bool longRunning = entry.job.spec.steps[key.step].longRunning;
    step.done +=
        static_cast<std::uint32_t>(isDone(status, longRunning)) - static_cast<std::uint32_t>(isDone(unit, longRunning));
    count(entry.units, unit, longRunning, -1);
    count(entry.units, status, longRunning, 1);
    unit = status;
    updateLive(entry);
}

void JobTable::applyUnstored(const UnitChanged &change)
{
    const UnitStatus *known = find(change.unit);
    if (known == nullptr) {
        return;
    }
    Unstored &unstored = m_unstored.try_emplace(change.unit, Unstored {*known, 0}).first->second;
    ++unstored.changes;
    applyUnitChange(change.unit, change.status);
}

void JobTable::confirmStored(const UnitChanged &change)
{
    const auto found = m_unstored.find(change.unit);
    if (found == m_unstored.end()) {
        return; // discarded meanwhile
    }
    found->second.stored = change.status;
    if (--found->second.changes == 0) {
        m_unstored.erase(found);
    }
}

void JobTable::discardUnstored()
{
    for (const auto &[unit, unstored] : std::exchange(m_unstored, {})) {
        applyUnitChange(unit, unstored.stored);
    }
}

StoredJobState JobTable::stored(const JobEntry &entry) const
{
    StoredJobState state;
    state.units = entry.units;
    for (auto place = m_unstored.lower_bound({entry.job.id, 0, 0, UnitKey::GANG});
         place != m_unstored.end() && place->first.job == entry.job.id; ++place) {
        const bool longRunning = entry.job.spec.steps[place->first.step].longRunning;
        count(state.units, *find(place->first), longRunning, -1);
        count(state.units, place->second.stored, longRunning, 1);
    }
    state.state = stateOf(state.units, entry.cancelled);
    return state;
}

void JobTable::updateLive(JobEntry &entry)
{
    const auto key = std::make_pair(entry.job.submittedMs, entry.job.id);
    if (entry.live()) {
        m_live.emplace(key, &entry);
    } else {
        m_live.erase(key);
    }
}

void JobTable::applySilence(const MinionSilence &record, std::int64_t steadyMs)
{
    if (!record.since) {
        m_silences.erase(record.minion);
        return;
    }
    const SilenceSeen read {*record.since, record.spell, steadyMs, record.startTimeMs};
    SilenceSeen &seen = m_silences.try_emplace(record.minion, read).first->second;
    if (!seen.isSameRecord(read)) {
        seen = read;
    }
}

void JobTable::restoreSilences(const JobTable &earlier)
{
    for (auto &[minion, seen] : m_silences) {
        const auto known = earlier.m_silences.find(minion);
        if (known != earlier.m_silences.end() && known->second.isSameRecord(seen)) {
            seen.readMs = known->second.readMs;
        }
    }
}

void JobTable::setAccepted(const JobId &id, std::int64_t steadyMs)
{
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end() && !found->second.acceptedMs) {
        found->second.acceptedMs = steadyMs;
    }
}

const JobEntry *JobTable::find(const JobId &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const UnitStatus *JobTable::find(const UnitKey &unit) const
{
    const JobEntry *entry = find(unit.job);
    if (entry == nullptr || unit.occurrence >= entry->occurrences.size() || unit.step >= entry->job.spec.steps.size()) {
        return nullptr;
    }
    const auto &units = entry->occurrences[unit.occurrence].steps[unit.step].units;
    const bool gang = entry->job.spec.steps[unit.step].gang;
    if ((unit.index == UnitKey::GANG) != gang || unitIndex(unit) >= units.size()) {
        return nullptr;
    }
    return &units[unitIndex(unit)];
}

const StepSpec &JobTable::stepOf(const UnitKey &unit) const
{
    return m_jobs.at(unit.job).job.spec.steps[unit.step];
}

std::size_t JobTable::waiting(const QueueName &queue) const
{
    return static_cast<std::size_t>(std::count_if(m_live.begin(), m_live.end(), [&](const auto &item) {
        const JobEntry &entry = *item.second;
        return entry.job.queue == queue && entry.units.begun == 0 && entry.job.spec.timetable.runs == 0;
    }));
}

} // namespace Papaya
