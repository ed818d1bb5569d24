#include "interference/keepapart.h"

#include <algorithm>
#include <cmath>

namespace Papaya
{

namespace
{

constexpr double LEVELS =
    2; // of the cost above 0; estimates differ by noise, and any difference outweighs the best fit

} // namespace

void KeepApart::update(const std::vector<InterferingPair> &pairs, const Running &running)
{
    m_costs.clear();
    if (pairs.empty()) {
        return;
    }
    for (const auto &[minion, images] : running) {
        for (const InterferingPair &pair : pairs) {
            if (images.contains(pair.disturbed)) {
                m_costs[pair.other][minion.value()] += pair.effect.perTask;
            }
            if (images.contains(pair.other)) {
                m_costs[pair.disturbed][minion.value()] += pair.effect.perTask;
            }
        }
    }
    for (auto &[image, minions] : m_costs) {
        for (auto &[minion, cost] : minions) {
            cost = std::ceil(std::min(1.0, cost) * LEVELS) / LEVELS;
        }
    }
}

double KeepApart::cost(const StepJob & /*job*/, const StepSpec &step, const MinionView &minion) const
{
    if (step.image.empty()) {
        return 0;
    }
    const auto image = m_costs.find(step.image);
    if (image == m_costs.end()) {
        return 0;
    }
    const auto found = image->second.find(minion.id.value());
    return found == image->second.end() ? 0 : found->second;
}

} // namespace Papaya
