#pragma once

#include "base/strong.h"

#include <cstdint>

// Epochs of planners and the fencing tokens of their orders to minions. An epoch consists of a term, which rises with
// every change of the planner, and a random tag, by which rival candidates claim different epochs. A planner's first
// fence is its epoch. It raises the fence when a minion restarts, so that orders to the former instance are refused by
// the new one, which has forgotten everything. The fences of a planner stay below the epoch of its successor.

namespace Papaya
{

constexpr unsigned TERM_SHIFT = 16;
constexpr unsigned EPOCH_TAG_BITS = 15; // leaves half of a term's numbers to fences

/** @return the epoch for a candidate that succeeds the planner of @p previous; @p random selects its tag. */
inline Epoch epochAfter(Epoch previous, std::uint64_t random)
{
    const std::uint64_t term = (previous.value() >> TERM_SHIFT) + 1;
    return Epoch(term << TERM_SHIFT | (random & ((1U << EPOCH_TAG_BITS) - 1)));
}

/** @return the next higher fence of the same planner, or @p fence itself if the term has none left. */
inline Epoch raisedFence(Epoch fence)
{
    const Epoch next(fence.value() + 1);
    return next.value() >> TERM_SHIFT == fence.value() >> TERM_SHIFT ? next : fence;
}

} // namespace Papaya
