#include "speeds/minionspeeds.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Papaya
{

namespace
{

constexpr double HALF_LIFE_MS = 15'000; // of an observation: some runs, since slow minions recover
constexpr std::int64_t RETENTION_MS = 90'000;
constexpr std::size_t MAX_STEPS = 512;       // bounds the time of a refresh, which took 10 to 19 ms for 1,200 steps
constexpr std::int64_t MIN_ELAPSED_MS = 500; // reports are as far apart, and a start takes a part of it
constexpr double MAX_DEVIATION = 2.3;        // a factor of ten, since a run that hangs says nothing of the speed
constexpr double PRIOR_SPREAD = 0.5;         // standard deviation of observations until enough have been made
constexpr double PRIOR_SPREAD_WEIGHT = 20;
constexpr double COMMON_PRIOR_WEIGHT = 2;  // minions on which a step runs as expected, in the prior
constexpr double SIGNIFICANCE = 3;         // standard errors
constexpr double MIN_SLOWNESS = 0.14;      // a factor of 1.15
constexpr double COUPLED_DEVIATION = 0.15; // between members of a gang that progress together, by rounding
constexpr double BLAME_DEVIATION = 0.7;    // of a coupled gang, from which one of its minions is taken to be slow
constexpr double BLAME_SHARPNESS = 3;      // a minion that seems twice as slow gets eight times the blame
constexpr double BASELINE_QUANTILE = 0.35; // below the median, as many gangs have a slow member
constexpr double BASELINE_PRIOR = 4;       // runs that took as long as expected
constexpr double REPLACEABLE_SHARE = 0.5;  // of its weight, from which an observation is replaced by a newer one

double decay(std::int64_t ageMs)
{
    return std::exp2(-double(ageMs) / HALF_LIFE_MS);
}

/** @return the median of @p values, which it reorders; 0 if there are none. */
double medianOf(std::vector<double> &values)
{
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    if (values.size() % 2 == 1) {
        return *middle;
    }
    return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

} // namespace

void MinionSpeeds::observe(const RunObservation &run, std::int64_t nowMs)
{
    if (run.elapsedMs < MIN_ELAPSED_MS || run.expectedMs <= 0) {
        return;
    }
    // The percentage is rounded down, so that a run in progress is taken as one percent further.
    const double done = double(std::min<std::int64_t>(run.percent + 1, 100)) / 100;
    const double elapsed = double(run.elapsedMs) / double(run.expectedMs);
    const Sample sample {std::clamp(std::log(elapsed / done), -MAX_DEVIATION, MAX_DEVIATION),
                         std::min(1.0, std::max(done, elapsed)), nowMs};
    const auto [place, added] = m_steps.try_emplace(run.step);
    if (added) {
        m_order.emplace_back(nowMs, run.step);
        dropOld(nowMs);
    }
    place->second.queue = run.queue;
    place->second.gang = run.gang;
    Sample &known = place->second.samples[run.minion];
    if (sample.weight >= REPLACEABLE_SHARE * known.weight * decay(nowMs - known.atMs)) {
        known = sample;
    }
}

void MinionSpeeds::forget(const MinionId &minion)
{
    m_speeds.erase(minion);
    for (auto &[step, runs] : m_steps) {
        runs.samples.erase(minion);
    }
}

void MinionSpeeds::dropOld(std::int64_t nowMs)
{
    while (!m_order.empty() && (m_order.size() > MAX_STEPS || nowMs - m_order.front().first > RETENTION_MS)) {
        m_steps.erase(m_order.front().second);
        m_order.pop_front();
    }
}

double MinionSpeeds::slowness(const MinionId &minion) const
{
    const auto found = m_speeds.find(minion);
    return found == m_speeds.end() ? 0 : found->second.slowness;
}

bool MinionSpeeds::isCoupled(const StepRuns &runs)
{
    const auto [least, most] =
        std::minmax_element(runs.samples.begin(), runs.samples.end(),
                            [](const auto &a, const auto &b) { return a.second.deviation < b.second.deviation; });
    return runs.gang && runs.samples.size() > 1 && most->second.deviation - least->second.deviation < COUPLED_DEVIATION;
}

void MinionSpeeds::updateBaselines()
{
    std::map<QueueName, std::vector<double>> deviations;
    for (const auto &[step, runs] : m_steps) {
        double most = -MAX_DEVIATION; // known slowness of a member
        for (const auto &[minion, sample] : runs.samples) {
            most = std::max(most, slowness(minion));
        }
        const bool coupled = isCoupled(runs);
        for (const auto &[minion, sample] : runs.samples) {
            deviations[runs.queue].push_back(sample.deviation - (coupled ? most : slowness(minion)));
        }
    }
    m_baselines.clear();
    for (auto &[queue, values] : deviations) {
        const auto place = values.begin() + static_cast<std::ptrdiff_t>(BASELINE_QUANTILE * double(values.size()));
        std::nth_element(values.begin(), place, values.end());
        m_baselines[queue] = *place * double(values.size()) / (double(values.size()) + BASELINE_PRIOR);
    }
}

std::map<MinionId, double> MinionSpeeds::blame(const Samples &samples, double baseline) const
{
    std::map<MinionId, double> shares;
    double sum = 0;
    for (const auto &[minion, sample] : samples) {
        const auto known = m_speeds.find(minion);
        const double share = known == m_speeds.end() ? 1 : std::exp(BLAME_SHARPNESS * known->second.estimate());
        shares[minion] = share;
        sum += share;
    }
    for (auto &[minion, share] : shares) {
        const bool isSlow = samples.at(minion).deviation - baseline > BLAME_DEVIATION;
        share = isSlow ? share / sum : 1;
    }
    return shares;
}

double MinionSpeeds::commonDeviation(const Samples &samples, double baseline) const
{
    // What is known of the minions is taken out first; otherwise a step that runs on slow minions only would hide them.
    std::vector<double> deviations;
    deviations.reserve(samples.size());
    for (const auto &[minion, sample] : samples) {
        deviations.push_back(sample.deviation - baseline - slowness(minion));
    }
    const double count = double(samples.size());
    return medianOf(deviations) * count / (count + COMMON_PRIOR_WEIGHT);
}

void MinionSpeeds::refresh(std::int64_t nowMs)
{
    dropOld(nowMs);
    struct Residual {
        const MinionId *minion;
        double deviation;
        double weight;
    };
    std::vector<Residual> residuals;
    std::map<MinionId, Speed> speeds;
    updateBaselines();
    for (const auto &[step, runs] : m_steps) {
        if (runs.samples.empty()) {
            continue;
        }
        const double baseline = m_baselines.at(runs.queue);
        const bool coupled = isCoupled(runs);
        const std::map<MinionId, double> shares =
            coupled ? blame(runs.samples, baseline) : std::map<MinionId, double>();
        const double common = baseline + (coupled ? 0 : commonDeviation(runs.samples, baseline));
        for (const auto &[minion, sample] : runs.samples) {
            const double share = coupled ? shares.at(minion) : 1;
            const double weight = share * sample.weight * decay(nowMs - sample.atMs);
            Speed &speed = speeds[minion];
            speed.weight += weight;
            speed.deviation += weight * (sample.deviation - common);
            speed.observedMs = std::max(speed.observedMs, sample.atMs);
            residuals.push_back({&minion, sample.deviation - common, weight});
        }
    }
    std::vector<double> deviations;
    double freedom = 0;
    for (auto &[minion, speed] : speeds) {
        speed.deviation /= std::max(speed.weight, 1e-9);
        deviations.push_back(speed.deviation);
        freedom += std::max(0.0, speed.weight - 1);
    }
    double squares = 0;
    for (const Residual &residual : residuals) {
        const double difference = residual.deviation - speeds.at(*residual.minion).deviation;
        squares += residual.weight * difference * difference;
    }
    const double median = medianOf(deviations);
    for (auto &[minion, speed] : speeds) {
        speed.deviation -= median;
    }
    m_speeds = std::move(speeds);
    setLevels(
        std::sqrt((squares + PRIOR_SPREAD_WEIGHT * PRIOR_SPREAD * PRIOR_SPREAD) / (freedom + PRIOR_SPREAD_WEIGHT)));
}

void MinionSpeeds::setLevels(double spread)
{
    m_uneven = false;
    for (auto &[minion, speed] : m_speeds) {
        const double standardError = spread / std::sqrt(std::max(speed.weight, 1e-9));
        const bool differs = std::abs(speed.deviation) > std::max(MIN_SLOWNESS, SIGNIFICANCE * standardError);
        speed.slowness = differs ? speed.estimate() : 0;
        speed.level = static_cast<int>(std::lround(speed.slowness / std::log(LEVEL_FACTOR)));
        m_uneven = m_uneven || speed.level != 0;
    }
}

int MinionSpeeds::level(const MinionId &minion) const
{
    const auto found = m_speeds.find(minion);
    return found == m_speeds.end() ? 0 : found->second.level;
}

std::int64_t MinionSpeeds::typicalMs(const QueueName &queue, std::int64_t expectedMs) const
{
    const auto found = m_baselines.find(queue);
    return found == m_baselines.end() ? expectedMs : std::llround(double(expectedMs) * std::exp(found->second));
}

std::size_t MinionSpeeds::verySlow() const
{
    return static_cast<std::size_t>(std::count_if(m_speeds.begin(), m_speeds.end(),
                                                  [](const auto &item) { return item.second.level >= VERY_SLOW; }));
}

std::int64_t MinionSpeeds::observedMs(const MinionId &minion) const
{
    const auto found = m_speeds.find(minion);
    return found == m_speeds.end() ? 0 : found->second.observedMs;
}

} // namespace Papaya
