#include "interference/interference.h"

namespace Papaya
{

namespace
{

constexpr std::int64_t MIN_SPAN_MS = 900;         // at least two reports
constexpr std::int64_t MIN_SPAN_PERCENT = 8;      // so that rounding of percent matters little
constexpr std::int64_t FIRST_PERCENT = 4;         // a run is slow until it has begun or restored its checkpoint
constexpr std::int64_t RUN_RETENTION_MS = 15'000; // after its last report

} // namespace

void Interference::observe(const std::vector<ObservedTask> &tasks, std::int64_t nowMs)
{
    ImageInterference::Loads loads;
    for (const ObservedTask &task : tasks) {
        if (!task.image.empty()) {
            const double load = task.serves ? 1 : task.cores;
            loads[task.image] += load;
            m_tails.observeTask(task.image, load);
            m_progress.observeTask(task.image, load);
        }
    }
    for (const ObservedTask &task : tasks) {
        const bool measured = task.serves ? task.tailRatio > 0 : !task.fills && task.percent < 100;
        if (task.image.empty() || !measured) {
            continue;
        }
        ImageInterference::Loads beside = loads;
        beside[task.image] -= task.serves ? 1 : task.cores;
        if (task.serves) {
            m_tails.observe(task.image, task.tailRatio, beside, nowMs);
        } else {
            observeProgress(task, beside, nowMs);
        }
    }
}

/**
 * Observes the change of a run's speed against the change of the load beside it. Estimates of the run time and speeds
 * of minions cancel out.
 */
void Interference::observeProgress(const ObservedTask &task, const ImageInterference::Loads &beside, std::int64_t nowMs)
{
    if (task.percent < FIRST_PERCENT || (!m_runs.contains(task.name) && m_runs.size() >= MAX_TRACKED_RUNS)) {
        return;
    }
    TrackedRun &run = m_runs[task.name];
    run.seenMs = nowMs;
    Span &span = run.span;
    if (span.beginMs == 0 || task.percent < span.percent) {
        run = {{nowMs, task.percent, {}, 0}, 0, {}, nowMs};
        return;
    }
    for (const auto &[image, load] : beside) {
        span.loads[image] += load;
    }
    span.reports += 1;
    const std::int64_t spanMs = nowMs - span.beginMs;
    const std::int64_t progress = task.percent - span.percent;
    if (spanMs < MIN_SPAN_MS || progress < MIN_SPAN_PERCENT) {
        return;
    }
    const double speed = double(progress) / double(spanMs);
    ImageInterference::Loads loads;
    for (const auto &[image, sum] : span.loads) {
        loads[image] = sum / span.reports;
    }
    if (run.speed > 0) {
        ImageInterference::Loads change = loads;
        for (const auto &[image, load] : run.formerly) {
            change[image] -= load;
        }
        m_progress.observe(task.image, 2 * (run.speed - speed) / (run.speed + speed), change, nowMs);
    }
    run.speed = speed;
    run.formerly = std::move(loads);
    span = {nowMs, task.percent, {}, 0};
}

std::vector<InterferingPair> Interference::refit(std::int64_t nowMs)
{
    if (nowMs - m_refitMs < REFIT_INTERVAL_MS) {
        return {};
    }
    m_refitMs = nowMs;
    std::erase_if(m_runs, [nowMs](const auto &item) { return nowMs - item.second.seenMs > RUN_RETENTION_MS; });
    std::vector<InterferingPair> discovered = m_tails.refit(nowMs);
    for (InterferingPair &pair : m_progress.refit(nowMs)) {
        discovered.push_back(std::move(pair));
    }
    m_pairs = m_tails.knownPairs(nowMs);
    for (InterferingPair &pair : m_progress.knownPairs(nowMs)) {
        m_pairs.push_back(std::move(pair));
    }
    return discovered;
}

std::map<std::string, double> Interference::causes(const std::string &serving, const ImageInterference::Loads &fills,
                                                   std::int64_t nowMs) const
{
    std::map<std::string, double> causes;
    for (const auto &[image, load] : fills) {
        const InterferenceEffect effect = m_tails.effect(serving, image, nowMs);
        if (effect.known) {
            causes[image] = effect.perLoad * load;
        }
    }
    return causes;
}

} // namespace Papaya
