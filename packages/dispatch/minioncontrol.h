#pragma once

#include "base/endpoint.h"
#include "base/units.h"
#include "steps/stepjob.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Orders to minions and what they report. A minion does nothing for an order whose fence is lower than the highest that
// it has seen, and ends everything whose lease has run out.

namespace Papaya
{

namespace Asio = boost::asio;

/** A minion as it lists itself. */
struct MinionEntry {
    MinionId id;
    ServiceName service;
    Endpoint address;
    PlaceName place;
    RackName rack;
    std::vector<std::string> labels;
    Resources capacity; ///< cores in thousandths
    bool draining = false;
    std::int64_t remainingMs = 0; ///< at least so long until a draining minion leaves
    std::int64_t startTimeMs = 0; ///< start of this life, milliseconds since 1970; 0 if it does not say
};

/** A run of a task that a minion lists. */
struct RunningTask {
    std::string task;
    std::uint32_t run = 0;
    std::string checkpoint; ///< the last one saved
    std::int64_t percent = 0;
    std::int64_t tailMs = 0; ///< of the response times of a task that serves; means nothing for others
};

/** How a run ended. */
enum class EndKind {
    Done,
    Failed,
    Stopped,
    Lapsed,         ///< its lease ran out
    GangBroken,     ///< another member of its gang ended
    GangIncomplete, ///< the other members of its gang did not come
    Unknown,        ///< a word that this version does not know
};

/** A run that has ended; listed again until it is acknowledged. */
struct EndedTask {
    std::uint64_t number = 0; ///< rises within a life of the minion
    std::string task;
    std::uint32_t run = 0;
    EndKind kind = EndKind::Unknown;
    std::string checkpoint;
};

/** What a minion answers to a look. */
struct MinionReport {
    std::int64_t clockMs = 0;     ///< the minion's steady clock
    std::int64_t startTimeMs = 0; ///< 0 if it does not say
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
};

/** What became of an order. */
enum class OrderOutcome {
    Done,
    Fenced,     ///< another planner has raised the fence
    Superseded, ///< a run that is not older has been stopped or has ended there
    LeaseExpired,
    NoCapacity,
    NoTicket, ///< the admission oracle's ticket is missing or has expired
    Invalid,
    Unhealthy,        ///< refused, nothing was done
    OtherIncarnation, ///< the minion has been replaced
    NoAnswer,         ///< may have been carried out, or may still be
};

/** @return the name of @p outcome for logs. */
std::string_view toString(OrderOutcome outcome);
/** @return the name of @p kind for logs. */
std::string_view toString(EndKind kind);

/** The answer to an order. */
struct OrderAnswer {
    OrderOutcome outcome = OrderOutcome::NoAnswer;
    std::optional<std::int64_t> clockMs;
};

/** Starts one run of a task. */
struct StartOrder {
    std::string task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;            ///< of the admission oracle; empty where none is asked for
    std::int64_t leaseUntilMs = 0; ///< on the minion's clock
    Epoch fence;
};

/** Lets a run work at a share of its speed. */
struct PaceOrder {
    std::string task;
    std::uint32_t run = 0;
    int percent = 100;
    Epoch fence;
};

/** Looks at a minion, acknowledges ends and extends its lease. */
struct PollOrder {
    Epoch fence;
    std::uint64_t ackUpTo = 0; ///< the minion forgets ends up to this number
    std::optional<std::int64_t> leaseUntilMs;
    Millis wait {0}; ///< for an end
};

/** A look's answer. */
struct PollAnswer {
    OrderOutcome outcome = OrderOutcome::NoAnswer;
    MinionReport report;
};

/** Orders to minions. */
class MinionControl
{
public:
    virtual ~MinionControl() = default;
    virtual Asio::awaitable<OrderAnswer> start(const MinionEntry &minion, StartOrder order, Millis limit) = 0;
    virtual Asio::awaitable<OrderAnswer> stop(const MinionEntry &minion, std::string task, std::uint32_t run,
                                              Epoch fence, Millis limit) = 0;
    virtual Asio::awaitable<OrderAnswer> pace(const MinionEntry &minion, PaceOrder order, Millis limit) = 0;
    virtual Asio::awaitable<PollAnswer> poll(const MinionEntry &minion, PollOrder order, Millis limit) = 0;
};

} // namespace Papaya
