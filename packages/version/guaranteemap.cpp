#include "version/guaranteemap.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::size_t MAX_ORDERS = 12; // orders of assignment that are tried before guarantees are reported as broken

/**
 * Assigns the gangs in the given order.
 * @return the index of the first gang that could not be assigned, or the size of @p order
 */
std::size_t assignInOrder(const FleetModel &reclaimable, const std::vector<GuaranteedGang> &order, GuaranteeMap &map)
{
    const LeastFragmentation policy;
    FleetModel fleet = reclaimable;
    map = {};
    std::size_t firstBroken = order.size();
    for (std::size_t i = 0; i < order.size(); ++i) {
        auto workers = policy.place(fleet, order[i].shape, {});
        if (!workers) {
            map.broken.push_back(order[i]);
            firstBroken = std::min(firstBroken, i);
            continue;
        }
        fleet.allocateAll(*workers, order[i].shape.part);
        map.assignments.push_back({order[i], std::move(*workers)});
    }
    return firstBroken;
}

} // namespace

GuaranteeMap assignGuarantees(const FleetModel &reclaimable, const std::vector<GuaranteedGang> &unused)
{
    // 1. The gangs that are hardest to place come first: by most accelerators, then by closest adjacency.
    std::vector<GuaranteedGang> order = unused;
    std::stable_sort(order.begin(), order.end(), [](const GuaranteedGang &a, const GuaranteedGang &b) {
        if (a.shape.totalGpus() != b.shape.totalGpus()) {
            return a.shape.totalGpus() > b.shape.totalGpus();
        }
        return a.shape.adjacency < b.shape.adjacency;
    });
    // 2. The first gang that could not be assigned moves to the front of the order, and the assignment is repeated. If
    //    even the gang in front does not fit, no other order helps it. The map with the fewest broken guarantees is
    //    kept.
    GuaranteeMap best;
    GuaranteeMap map;
    for (std::size_t attempt = 0; attempt < MAX_ORDERS; ++attempt) {
        const std::size_t broken = assignInOrder(reclaimable, order, map);
        if (attempt == 0 || map.broken.size() < best.broken.size()) {
            best = map;
        }
        if (best.valid() || broken == 0) {
            break;
        }
        std::rotate(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(broken),
                    order.begin() + static_cast<std::ptrdiff_t>(broken) + 1);
    }
    return best;
}

bool usesGuarantee(const Shape &job, const Shape &guaranteed)
{
    // Cores and memory that the guarantee leaves at 0 are not limited. Parts and accelerators must be equal, since a
    // smaller gang must not use up a guarantee that a larger one waits for.
    const auto within = [](std::int64_t need, std::int64_t limit) { return limit == 0 || need <= limit; };
    return job.parts == guaranteed.parts && job.part.gpus == guaranteed.part.gpus
           && within(job.part.cores, guaranteed.part.cores) && within(job.part.memoryMb, guaranteed.part.memoryMb)
           && job.adjacency >= guaranteed.adjacency;
}

} // namespace Papaya
