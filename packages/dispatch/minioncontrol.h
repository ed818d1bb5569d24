#pragma once

#include "base/endpoint.h"
#include "base/units.h"
#include "steps/stepjob.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

// Orders to minions and their reports. A minion refuses an order whose fence is lower than the highest it has seen, and
// ends every run whose lease has expired.

namespace Papaya
{

namespace Asio = boost::asio;

/** A minion as described by its own entry in the minions topic. */
struct MinionEntry {
    MinionId id;
    ServiceName service;
    Endpoint address;
    PlaceName place;
    RackName rack;
    std::vector<std::string> labels;
    Resources capacity; ///< cores in thousandths of a core
    bool draining = false;
    std::int64_t remainingMs = 0; ///< minimum time until a draining minion leaves
    bool cold = false;            ///< runs slower for a while after it has started
    std::int64_t startTimeMs = 0; ///< start of the process, milliseconds since 1970; 0 if not given
};

/** A running task, as listed by its minion. */
struct RunningTask {
    std::string task;
    std::uint32_t run = 0;
    std::string checkpoint; ///< the latest that was saved
    std::int64_t percent = 0;
    std::int64_t load = 0; ///< tail response time of a service task in ms; cores in use of any other
};

/** How a run ended. */
enum class EndKind {
    Done,
    Failed,
    Stopped,
    Lapsed,         ///< its lease expired
    GangBroken,     ///< another member of its gang ended
    GangIncomplete, ///< the other members of its gang did not start
    Unknown,        ///< not known to this version
};

/** A run that has ended; listed in every report until it is acknowledged. */
struct EndedTask {
    std::uint64_t number = 0; ///< increases until the minion restarts
    std::string task;
    std::uint32_t run = 0;
    EndKind kind = EndKind::Unknown;
    std::string checkpoint;
};

/** A minion's answer to a poll. */
struct MinionReport {
    std::int64_t clockMs = 0;     ///< the minion's steady clock
    std::int64_t startTimeMs = 0; ///< start of the process, milliseconds since 1970; 0 if not given
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended; ///< in the order of their numbers
    bool mayHaveMoreEnds = false; ///< ends beyond the last one of ended may exist that are not listed
};

/** The outcome of an order. */
enum class OrderOutcome {
    Done,
    Fenced,     ///< refused: the minion has seen a higher fence
    Superseded, ///< the same or a later run of the task was stopped or has ended there
    LeaseExpired,
    NoCapacity,
    NoTicket, ///< the admission oracle's ticket is missing or has expired
    Invalid,
    Unhealthy,        ///< refused without effect
    OtherIncarnation, ///< another instance answers at the address
    Withdrawn,        ///< StartOrder::maySend() returned false; nothing was sent
    NoAnswer,         ///< may have been carried out, or may be later
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
    std::string ticket;            ///< from the admission oracle; empty if none is needed
    std::int64_t leaseUntilMs = 0; ///< in the minion's clock
    Epoch fence;
    std::function<bool()> maySend; ///< asked when the order is about to leave this node
};

/** Throttles a run to a percentage of its full speed. */
struct PaceOrder {
    std::string task;
    std::uint32_t run = 0;
    int percent = 100;
    Epoch fence;
};

/** Polls a minion, acknowledges ends and renews the lease. */
struct PollOrder {
    Epoch fence;
    std::uint64_t ackUpTo = 0; ///< the minion drops ends up to this number
    std::optional<std::int64_t> leaseUntilMs;
    Millis wait {0}; ///< longest wait for an end
};

/** The answer to a poll. */
struct PollAnswer {
    OrderOutcome outcome = OrderOutcome::NoAnswer;
    MinionReport report;
};

/** Sends orders to minions; @p timeout bounds each call. */
class MinionControl
{
public:
    virtual ~MinionControl() = default;
    virtual Asio::awaitable<OrderAnswer> start(const MinionEntry &minion, StartOrder order, Millis timeout) = 0;
    virtual Asio::awaitable<OrderAnswer> stop(const MinionEntry &minion, std::string task, std::uint32_t run,
                                              Epoch fence, Millis timeout) = 0;
    virtual Asio::awaitable<OrderAnswer> pace(const MinionEntry &minion, PaceOrder order, Millis timeout) = 0;
    virtual Asio::awaitable<PollAnswer> poll(const MinionEntry &minion, PollOrder order, Millis timeout) = 0;
};

} // namespace Papaya
