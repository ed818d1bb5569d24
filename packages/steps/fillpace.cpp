#include "steps/fillpace.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::int64_t MIN_CUT_INTERVAL_MS = 450; // tail latencies cover half a second and are reported about as often
constexpr std::int64_t MIN_RAISE_INTERVAL_MS = 1'500; // long enough to see the effect of the last raise
constexpr int RAISE_STEP_PERCENT = 10;
constexpr int MIN_PERCENT = 10;                 // filling tasks are halted below this share
constexpr double RAISE_THRESHOLD = 0.75;        // ratio to the target; between the thresholds, the share stays as it is
constexpr double CUT_THRESHOLD = 0.95;          // ratio to the target; below 1 since tail latencies are estimates
constexpr double RAISE_OTHERS_THRESHOLD = 0.88; // ratio to the target, for images that are not known to raise it
constexpr double MAIN_CAUSES = 0.9;             // share of the known rise that is throttled if less does not suffice
constexpr double EXPECTED_FALL = 0.25;          // least part of the predicted fall after a cut that spared images

} // namespace

int FillPace::percent(const std::string &image) const
{
    const auto own = m_own.find(image);
    return own == m_own.end() ? m_percent : std::max(m_percent, own->second);
}

std::set<std::string> FillPace::spared(const std::vector<TailLatency> &tails, const std::set<std::string> &images) const
{
    std::set<std::string> kept = images;
    kept.erase("");
    for (const TailLatency &tail : tails) {
        const double excess =
            tail.targetMs > 0 ? double(tail.tailMs) / double(tail.targetMs) - CUT_THRESHOLD : -CUT_THRESHOLD;
        if (excess <= 0) {
            continue;
        }
        std::vector<std::pair<double, std::string>> causes;
        double total = 0;
        for (const auto &[image, rise] : tail.causes) {
            causes.emplace_back(rise, image);
            total += rise;
        }
        if (total < excess) {
            return {}; // something else raises it as well
        }
        std::sort(causes.rbegin(), causes.rend());
        double throttled = 0;
        for (const auto &[rise, image] : causes) {
            if (throttled / 2 >= excess || throttled >= MAIN_CAUSES * total) {
                break; // halving the others as well is not needed to meet the target
            }
            throttled += rise;
            kept.erase(image);
        }
    }
    return kept;
}

void FillPace::cut(const std::vector<TailLatency> &tails, double worstRatio, const std::set<std::string> &images)
{
    m_suspectsAll = m_suspectsAll || m_percent == 0 || (m_expectedRatio > 0 && worstRatio > m_expectedRatio);
    std::map<std::string, int> kept;
    if (!m_suspectsAll) {
        for (const std::string &image : spared(tails, images)) {
            kept[image] = percent(image);
        }
    }
    m_own = std::move(kept);
    const int halved = m_percent / 2;
    m_percent = halved < MIN_PERCENT ? 0 : halved;
    m_expectedRatio = 0;
    if (!m_own.empty()) {
        double rise = 0;
        for (const TailLatency &tail : tails) {
            for (const auto &[image, ratio] : tail.causes) {
                rise = std::max(rise, m_own.contains(image) ? 0 : ratio);
            }
        }
        m_expectedRatio = worstRatio - EXPECTED_FALL * rise / 2;
    }
}

bool FillPace::raiseOthers(const std::vector<TailLatency> &tails, const std::set<std::string> &images)
{
    std::set<std::string> others = images;
    others.erase("");
    bool known = false;
    for (const TailLatency &tail : tails) {
        for (const auto &cause : tail.causes) {
            others.erase(cause.first);
            known = true;
        }
    }
    bool raised = false;
    for (const std::string &image : others) {
        if (known && percent(image) < FULL) {
            m_own[image] = std::min(FULL, percent(image) + RAISE_STEP_PERCENT);
            raised = true;
        }
    }
    return raised;
}

void FillPace::observe(const std::vector<TailLatency> &tails, std::int64_t nowMs, const std::set<std::string> &images)
{
    std::erase_if(m_own, [&images](const auto &item) { return !images.contains(item.first); });
    double worstRatio = 0;
    for (const TailLatency &tail : tails) {
        if (tail.targetMs > 0) {
            worstRatio = std::max(worstRatio, double(tail.tailMs) / double(tail.targetMs));
        }
    }
    m_exceeded = worstRatio > CUT_THRESHOLD;
    const std::int64_t sinceChangeMs = nowMs - m_changedMs;
    const bool mayCut = m_percent > 0 || !m_own.empty();
    if (m_exceeded && mayCut && sinceChangeMs >= MIN_CUT_INTERVAL_MS) {
        cut(tails, worstRatio, images);
        m_changedMs = nowMs;
    } else if (worstRatio < RAISE_THRESHOLD && m_percent < FULL && sinceChangeMs >= MIN_RAISE_INTERVAL_MS) {
        m_expectedRatio = 0;
        m_suspectsAll = false;
        if (!raiseOthers(tails, images)) {
            m_percent = std::min(FULL, m_percent + RAISE_STEP_PERCENT);
            std::erase_if(m_own, [this](const auto &item) { return item.second <= m_percent; });
        }
        m_changedMs = nowMs;
    } else if (worstRatio < RAISE_OTHERS_THRESHOLD && !m_suspectsAll && sinceChangeMs >= MIN_RAISE_INTERVAL_MS
               && raiseOthers(tails, images)) {
        m_expectedRatio = 0;
        m_changedMs = nowMs;
    }
}

bool FillPace::needsOrder(const PacedTask &task, std::int64_t nowMs) const
{
    const bool repeat = m_exceeded && task.works && nowMs - task.confirmedMs >= MIN_CUT_INTERVAL_MS;
    return repeat || task.confirmedPercent != percent(task.image);
}

} // namespace Papaya
