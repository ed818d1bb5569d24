#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

// A strong type wraps a plain value so that ids and numbers of different kinds cannot be mixed up. Strong types with
// different tags do not convert into each other, and the plain value is only accessible through value().

namespace Papaya
{

/** A value of type @p Rep; @p Tag makes the type distinct. */
template<typename Tag, typename Rep>
class Strong
{
public:
    Strong() = default;
    explicit Strong(Rep value)
        : m_value(std::move(value))
    {
    }

    /** @return the plain value. */
    [[nodiscard]] const Rep &value() const
    {
        return m_value;
    }

    auto operator<=>(const Strong &) const = default;

private:
    Rep m_value {};
};

using TeamName = Strong<struct TeamNameTag, std::string>;
using TemplateName = Strong<struct TemplateNameTag, std::string>;
using CallerName = Strong<struct CallerNameTag, std::string>;
using InstanceId = Strong<struct InstanceIdTag, std::string>;
using PlaceName = Strong<struct PlaceNameTag, std::string>;
using RackName = Strong<struct RackNameTag, std::string>;
using WorkerId = Strong<struct WorkerIdTag, std::string>;
using MinionId = Strong<struct MinionIdTag, std::string>;
using JobId = Strong<struct JobIdTag, std::string>;
using RequestId = Strong<struct RequestIdTag, std::string>;
using IdempotencyKey = Strong<struct IdempotencyKeyTag, std::string>;

/** Position of a record in a stream of the log service. */
using Offset = Strong<struct OffsetTag, std::uint64_t>;
/** Term of a planner; a planner with a higher epoch supersedes those with a lower one. */
using Epoch = Strong<struct EpochTag, std::uint64_t>;
/** Version of the fleet configuration. */
using ConfigVersion = Strong<struct ConfigVersionTag, std::uint64_t>;
/** Number of an instance's process; increases with every restart of the instance. */
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;
/** Index of a part in its gang, from 0. */
using PartIndex = Strong<struct PartIndexTag, std::uint32_t>;

} // namespace Papaya

template<typename Tag, typename Rep>
struct std::hash<Papaya::Strong<Tag, Rep>> {
    std::size_t operator()(const Papaya::Strong<Tag, Rep> &strong) const
    {
        return std::hash<Rep> {}(strong.value());
    }
};
