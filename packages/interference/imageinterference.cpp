#include "interference/imageinterference.h"

#include <algorithm>
#include <cmath>

namespace Papaya
{

namespace
{

constexpr double MIN_EFFECT = 0.05;       // by one task; a smaller rise does not matter to callers
constexpr double MIN_ERRORS = 4;          // effect in standard errors; several pairs are tested with each fit
constexpr double MIN_VARIATION = 0.05;    // share of an image's variation of load that no other image explains
constexpr double ROUNDING = 1e-9;         // variation of a load in proportion to its squares that counts as none
constexpr double FORGOTTEN = 0.01;        // observations, after decay
constexpr double TASK_LOAD_WEIGHT = 0.05; // of the latest load in the average of a typical task
constexpr int MAX_ROUNDS = 30;            // of the fit; it converges in a few unless loads are nearly collinear
constexpr double CONVERGED = 1e-6;        // change of an effect on the measure
constexpr std::size_t MAX_TASK_LOADS = 1'024;

double decayFactor(std::int64_t spanMs)
{
    return std::exp2(-double(std::max<std::int64_t>(0, spanMs)) / double(ImageInterference::HALF_LIFE_MS));
}

} // namespace

void ImageInterference::observe(const std::string &image, double measure, const Loads &beside, std::int64_t nowMs)
{
    if (image.empty() || (!m_disturbed.contains(image) && m_disturbed.size() >= MAX_IMAGES)) {
        return;
    }
    Disturbed &disturbed = m_disturbed[image];
    decay(disturbed, nowMs);
    std::vector<Beside> &known = disturbed.beside;
    for (const auto &[name, load] : beside) {
        const bool isNew = std::none_of(known.begin(), known.end(),
                                        [&other = name](const Beside &item) { return item.image == other; });
        if (isNew && load != 0 && !name.empty() && known.size() < MAX_IMAGES_BESIDE) {
            for (Beside &other : known) {
                other.products.push_back(0);
            }
            Beside added;
            added.image = name;
            added.products.resize(known.size() + 1);
            added.effect.firstSeenMs = nowMs;
            known.push_back(std::move(added));
        }
    }
    std::vector<double> loads;
    for (const Beside &other : known) {
        const auto found = beside.find(other.image);
        loads.push_back(found == beside.end() ? 0 : found->second);
    }
    disturbed.observations += 1;
    disturbed.measures += measure;
    disturbed.squaredMeasures += measure * measure;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        Beside &other = known[i];
        if (loads[i] != 0) {
            other.present += 1;
            other.effect.latestSeenMs = nowMs;
        }
        other.loads += loads[i];
        other.withMeasure += loads[i] * measure;
        for (std::size_t j = 0; j < loads.size(); ++j) {
            other.products[j] += loads[i] * loads[j];
        }
    }
}

std::vector<InterferingPair> ImageInterference::refit(std::int64_t nowMs)
{
    std::vector<InterferingPair> discovered;
    for (auto &[image, disturbed] : m_disturbed) {
        std::vector<std::string> before;
        for (const Beside &other : disturbed.beside) {
            if (isKnown(other, disturbed.asOfMs, nowMs)) {
                before.push_back(other.image);
            }
        }
        decay(disturbed, nowMs);
        fit(disturbed);
        for (const Beside &other : disturbed.beside) {
            if (other.effect.known && std::find(before.begin(), before.end(), other.image) == before.end()) {
                discovered.push_back({image, other.image, other.effect});
            }
        }
    }
    std::erase_if(m_disturbed, [](const auto &item) { return item.second.observations < FORGOTTEN; });
    return discovered;
}

void ImageInterference::observeTask(const std::string &image, double load)
{
    if (image.empty() || load <= 0) {
        return;
    }
    const auto found = m_taskLoads.find(image);
    if (found != m_taskLoads.end()) {
        found->second += TASK_LOAD_WEIGHT * (load - found->second);
        return;
    }
    if (m_taskLoads.size() >= MAX_TASK_LOADS) {
        m_taskLoads.clear(); // learned anew from the next reports
    }
    m_taskLoads.emplace(image, load);
}

double ImageInterference::taskLoad(const std::string &image) const
{
    const auto found = m_taskLoads.find(image);
    return found == m_taskLoads.end() ? 1 : found->second;
}

void ImageInterference::decay(Disturbed &image, std::int64_t nowMs)
{
    const double factor = decayFactor(nowMs - image.asOfMs);
    image.asOfMs = nowMs;
    image.observations *= factor;
    image.measures *= factor;
    image.squaredMeasures *= factor;
    for (Beside &other : image.beside) {
        other.present *= factor;
        other.loads *= factor;
        other.withMeasure *= factor;
        for (double &product : other.products) {
            product *= factor;
        }
    }
    for (std::size_t i = image.beside.size(); i-- > 0;) {
        if (image.beside[i].present < FORGOTTEN) {
            image.beside.erase(image.beside.begin() + static_cast<std::ptrdiff_t>(i));
            for (Beside &other : image.beside) {
                other.products.erase(other.products.begin() + static_cast<std::ptrdiff_t>(i));
            }
        }
    }
}

void ImageInterference::fit(Disturbed &image) const
{
    const double total = image.observations;
    std::vector<Beside> &beside = image.beside;
    const auto covariance = [&](std::size_t i, std::size_t j) {
        return beside[i].products[j] - beside[i].loads * beside[j].loads / total;
    };
    const auto measureWith = [&](std::size_t i) {
        return beside[i].withMeasure - beside[i].loads * image.measures / total;
    };
    std::vector<double> variations;
    std::vector<double> taskLoads;
    for (std::size_t i = 0; i < beside.size(); ++i) {
        const double variation = covariance(i, i);
        taskLoads.push_back(taskLoad(beside[i].image));
        variations.push_back(variation > ROUNDING * beside[i].products[i] ? variation : 0);
    }
    // The part of the variation of each load that the other load closest to it does not explain.
    std::vector<double> ownVariations;
    for (std::size_t i = 0; i < beside.size(); ++i) {
        double own = variations[i];
        for (std::size_t j = 0; j < beside.size(); ++j) {
            if (j != i && variations[j] > 0) {
                own = std::min(own, variations[i] - covariance(i, j) * covariance(i, j) / variations[j]);
            }
        }
        ownVariations.push_back(own > MIN_VARIATION * variations[i] ? own : 0);
    }
    // 1. Coordinate descent to the non-negative effects with the least squared residuals.
    std::vector<double> effects(beside.size());
    for (int round = 0; round < MAX_ROUNDS; ++round) {
        double change = 0;
        for (std::size_t i = 0; i < beside.size(); ++i) {
            double explained = measureWith(i);
            for (std::size_t j = 0; j < beside.size(); ++j) {
                explained -= j == i ? 0 : effects[j] * covariance(i, j);
            }
            const double next = variations[i] > 0 ? std::max(0.0, explained / variations[i]) : 0;
            change = std::max(change, std::abs(next - effects[i]) * taskLoads[i]);
            effects[i] = next;
        }
        if (change < CONVERGED) {
            break;
        }
    }
    // 2. The residuals show how sure the effects are.
    double residuals = image.squaredMeasures - image.measures * image.measures / total;
    for (std::size_t i = 0; i < beside.size(); ++i) {
        residuals -= 2 * effects[i] * measureWith(i);
        for (std::size_t j = 0; j < beside.size(); ++j) {
            residuals += effects[i] * effects[j] * covariance(i, j);
        }
    }
    const double freedom = std::max(1.0, total - double(beside.size()) - 1);
    const double variance = std::max(0.0, residuals) / freedom;
    for (std::size_t i = 0; i < beside.size(); ++i) {
        Beside &other = beside[i];
        const double load = taskLoads[i];
        const bool varied = ownVariations[i] > 0;
        other.effect.perLoad = varied ? effects[i] : 0;
        other.effect.perTask = other.effect.perLoad * load;
        other.effect.standardError = varied ? load * std::sqrt(variance / ownVariations[i]) : 0;
        other.effect.observations = other.present;
        other.effect.known = varied && other.present >= MIN_OBSERVATIONS && total >= 2 * MIN_OBSERVATIONS
                             && other.effect.perTask >= MIN_EFFECT
                             && other.effect.perTask >= MIN_ERRORS * other.effect.standardError;
    }
}

bool ImageInterference::isKnown(const Beside &beside, std::int64_t asOfMs, std::int64_t nowMs)
{
    return beside.effect.known && beside.present * decayFactor(nowMs - asOfMs) >= MIN_OBSERVATIONS;
}

InterferenceEffect ImageInterference::effect(const std::string &image, const std::string &other,
                                             std::int64_t nowMs) const
{
    const auto found = m_disturbed.find(image);
    if (found == m_disturbed.end()) {
        return {};
    }
    for (const Beside &beside : found->second.beside) {
        if (beside.image == other) {
            InterferenceEffect effect = beside.effect;
            effect.known = isKnown(beside, found->second.asOfMs, nowMs);
            return effect;
        }
    }
    return {};
}

std::vector<InterferingPair> ImageInterference::knownPairs(std::int64_t nowMs) const
{
    std::vector<InterferingPair> pairs;
    for (const auto &[image, disturbed] : m_disturbed) {
        for (const Beside &beside : disturbed.beside) {
            if (isKnown(beside, disturbed.asOfMs, nowMs)) {
                pairs.push_back({image, beside.image, beside.effect});
            }
        }
    }
    return pairs;
}

} // namespace Papaya
