#include "process/requestservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>

// The runs of one admitted request: the first run, retries and the hedge, until one has answered, none is left or the
// deadline has passed.

namespace Papaya
{

namespace
{

constexpr double RETRIES_PER_SUCCESS = 0.1;
constexpr double MAX_SAVED_RETRIES = 10;
constexpr double HEDGES_PER_SUCCESS = 0.05;
constexpr double MAX_SAVED_HEDGES = 5;
constexpr Millis DEFAULT_RUN_TIME {20}; // until a template has enough run times of its own
constexpr Millis MIN_ATTEMPT_TIMEOUT {50};
constexpr Millis MIN_HEDGE_DELAY {5};
constexpr int ATTEMPT_P95_FACTOR = 4;
constexpr Millis BUSY_BACKOFF {3};                // before minions that were busy are tried again
constexpr std::size_t BUSY_TRIES_PER_BACKOFF = 3; // busy minions tried between two back-offs
// Retries of one request after the loss of a keep-alive connection that are not charged to the retry budget.
constexpr std::size_t MAX_LOST_KEPT_CONNECTIONS = 2;
constexpr int MIN_SERVER_ERROR_STATUS = 500;

RetryReason toRetryReason(RunFailure failure)
{
    switch (failure) {
    case RunFailure::Unreachable:
        return RetryReason::Unreachable;
    case RunFailure::Busy:
        return RetryReason::Busy;
    case RunFailure::Timeout:
        return RetryReason::Timeout;
    case RunFailure::Malformed:
        return RetryReason::Malformed;
    case RunFailure::CrossedAnswer:
        return RetryReason::CrossedAnswer;
    default:
        return RetryReason::Closed;
    }
}

bool isGoodAnswer(const RunResult &result)
{
    return result.outcome == RunOutcome::Answered && result.status < MIN_SERVER_ERROR_STATUS;
}

} // namespace

RequestService::TemplateState::TemplateState()
    : retries(RETRIES_PER_SUCCESS, MAX_SAVED_RETRIES)
    , hedges(HEDGES_PER_SUCCESS, MAX_SAVED_HEDGES)
{
}

struct RequestService::RequestRuns {
    struct FinishedRun {
        RunResult result;
        Duration time {0};
    };

    explicit RequestRuns(Asio::any_io_executor strand)
        : executor(std::move(strand))
        , waiter(Waiter::create(executor))
    {
    }

    Asio::any_io_executor executor;
    std::shared_ptr<Waiter> waiter; ///< replaced before each wait
    std::vector<FinishedRun> finished;
    std::size_t pending = 0;
    std::set<MinionId> tried;
    std::size_t busyTries = 0;
    std::size_t lostKeptConnections = 0;      ///< losses that the retry budget was not charged for
    std::optional<RunResult> failureToReport; ///< result to report if no run succeeds
    std::optional<TimePoint> hedgeAt;         ///< when to hedge, if a hedge may still be sent
    bool mayHaveRun = false;
};

Duration RequestService::expectedTime(const Context &context)
{
    const std::lock_guard lock(m_mutex);
    return m_templates[context.templateName].latency.median(DEFAULT_RUN_TIME);
}

Duration RequestService::serviceTimeBound(const Context &context)
{
    const std::lock_guard lock(m_mutex);
    return m_templates[context.templateName].latency.cappedP99(DEFAULT_RUN_TIME);
}

void RequestService::recordSuccess(const Context &context, Duration runTime)
{
    const std::lock_guard lock(m_mutex);
    TemplateState &state = m_templates[context.templateName];
    state.latency.add(runTime);
    state.retries.earn();
    state.hedges.earn();
}

TimePoint RequestService::attemptDeadline(const Context &context, TimePoint now)
{
    // A request that is not idempotent is not sent again once it may have run, so its attempt may last until the
    // deadline.
    if (!context.templateConfig->idempotent) {
        return context.deadline;
    }
    const Duration half = (context.deadline - now) / 2;
    const std::lock_guard lock(m_mutex);
    const LatencyEstimate &latency = m_templates[context.templateName].latency;
    // Keeps half of the remaining time for a second attempt, unless the other half is too short for the first.
    if (half < latency.cappedP99(half)) {
        return context.deadline;
    }
    return now + std::min(half, std::max<Duration>(MIN_ATTEMPT_TIMEOUT, latency.p95(half) * ATTEMPT_P95_FACTOR));
}

std::optional<TimePoint> RequestService::hedgeTime(const Context &context, TimePoint now)
{
    if (!context.templateConfig->idempotent || context.templateConfig->urgency != Urgency::Urgent) {
        return std::nullopt;
    }
    const std::lock_guard lock(m_mutex);
    const Duration delay = m_templates[context.templateName].latency.p95(context.deadline - now);
    return now + std::max<Duration>(MIN_HEDGE_DELAY, delay);
}

bool RequestService::launch(const Context &context, const std::shared_ptr<RequestRuns> &runs, TimePoint deadline)
{
    const auto minion = m_minions.beginRun(runs->tried);
    if (!minion) {
        return false;
    }
    runs->tried.insert(minion->id);
    ++runs->pending;
    RunRequest run;
    run.id = context.id;
    run.templateName = context.templateName;
    run.contentType = context.contentType;
    run.body = context.body;
    run.idempotent = context.templateConfig->idempotent;
    run.forceNewConnection = runs->lostKeptConnections > 0;
    Asio::co_spawn(runs->executor, runOnce(*this, runs, *minion, std::move(run), deadline), Asio::detached);
    return true;
}

Asio::awaitable<void> RequestService::runOnce(RequestService &self, std::shared_ptr<RequestRuns> runs,
                                              ChosenMinion minion, RunRequest run, TimePoint deadline)
{
    const TimePoint begin = Clock::now();
    RunResult result = co_await self.m_client.run(minion.address, std::move(run), deadline);
    self.m_minions.finishRun(minion.id, result);
    --runs->pending;
    runs->finished.push_back({std::move(result), Clock::now() - begin});
    runs->waiter->notify();
}

bool RequestService::mayRetry(const Context &context, RequestRuns &runs, const RunResult &result, TimePoint now)
{
    const bool safe = context.templateConfig->idempotent || result.outcome == RunOutcome::NotRun;
    if (!safe) {
        m_metrics.count(RetryReason::DeniedNotIdempotent);
        return false;
    }
    if (now + expectedTime(context) >= context.deadline) {
        m_metrics.count(RetryReason::DeniedByDeadline);
        return false;
    }
    // Two kinds of failure are not charged to the retry budget: a busy minion has done no work, and the loss of a
    // keep-alive connection says nothing about the minion.
    const bool lostKeptConnection = result.reusedConnection && result.outcome == RunOutcome::Unknown
                                    && result.failure != RunFailure::CrossedAnswer
                                    && runs.lostKeptConnections < MAX_LOST_KEPT_CONNECTIONS;
    runs.lostKeptConnections += lostKeptConnection ? 1U : 0U;
    if (result.failure != RunFailure::Busy && !lostKeptConnection) {
        const std::lock_guard lock(m_mutex);
        if (!m_templates[context.templateName].retries.spend()) {
            m_metrics.count(RetryReason::DeniedByBudget);
            return false;
        }
    }
    m_metrics.count(toRetryReason(result.failure));
    return true;
}

Asio::awaitable<bool> RequestService::retry(const Context &context, const std::shared_ptr<RequestRuns> &runs,
                                            RunFailure failure)
{
    const bool busy = failure == RunFailure::Busy;
    const bool backOff = busy && ++runs->busyTries % BUSY_TRIES_PER_BACKOFF == 0;
    if (!backOff && launch(context, runs, attemptDeadline(context, Clock::now()))) {
        co_return true;
    }
    // Either every minion has been tried, or another BUSY_TRIES_PER_BACKOFF of them were busy. A busy minion may have a
    // free slot after the back-off, and a minion that failed is still better than none.
    runs->tried.clear();
    if (busy) {
        co_await sleepFor(BUSY_BACKOFF);
    }
    if (Clock::now() >= context.deadline) {
        co_return false;
    }
    co_return launch(context, runs, attemptDeadline(context, Clock::now()));
}

void RequestService::hedge(const Context &context, const std::shared_ptr<RequestRuns> &runs)
{
    runs->hedgeAt.reset();
    // A hedge would take a minion's slot from a waiting request, so none is sent while requests wait.
    if (m_gate.queued() > 0) {
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        if (!m_templates[context.templateName].hedges.spend()) {
            return;
        }
    }
    if (launch(context, runs, context.deadline)) {
        m_metrics.count(Counter::HedgesSent);
    }
}

Asio::awaitable<bool> RequestService::waitForRun(const Context &context, const std::shared_ptr<RequestRuns> &runs)
{
    while (runs->finished.empty()) {
        runs->waiter = Waiter::create(runs->executor);
        const TimePoint until = runs->hedgeAt ? std::min(*runs->hedgeAt, context.deadline) : context.deadline;
        co_await runs->waiter->wait(until);
        if (!runs->finished.empty()) {
            break;
        }
        if (Clock::now() >= context.deadline) {
            co_return false;
        }
        hedge(context, runs);
    }
    co_return true;
}

RequestService::Reply RequestService::finalReply(RequestRuns &runs)
{
    Reply reply;
    // An answer with a status of 500 or above is still the minion's answer, so the caller gets it.
    if (runs.failureToReport->outcome == RunOutcome::Answered) {
        reply.answer = {runs.failureToReport->status, std::move(runs.failureToReport->contentType),
                        std::move(runs.failureToReport->body)};
    } else if (runs.mayHaveRun) {
        reply.refusal = Refusal::RunUnknown;
    } else if (runs.failureToReport->failure == RunFailure::Busy) {
        reply.refusal = Refusal::MinionsBusy;
    } else {
        reply.refusal = Refusal::MinionsUnreachable;
    }
    return reply;
}

Asio::awaitable<RequestService::Reply> RequestService::runWithRetries(Context &context)
{
    Reply reply;
    auto runs = std::make_shared<RequestRuns>(co_await Asio::this_coro::executor);
    const TimePoint begin = Clock::now();
    if (begin >= context.deadline) {
        reply.refusal = Refusal::DeadlinePassed;
        co_return reply;
    }
    if (!launch(context, runs, attemptDeadline(context, begin))) {
        reply.refusal = Refusal::NoMinion;
        co_return reply;
    }
    runs->hedgeAt = hedgeTime(context, begin);
    while (true) {
        // 1. Waits for a run to end. The minion client gives up at the same deadline, so a run that is still open then
        //    has an unknown outcome.
        if (!co_await waitForRun(context, runs)) {
            reply.refusal = Refusal::RunUnknown;
            co_return reply;
        }
        RunResult result = std::move(runs->finished.back().result);
        const Duration runTime = runs->finished.back().time;
        runs->finished.pop_back();
        // 2. The first good answer of any run ends the request.
        if (isGoodAnswer(result)) {
            recordSuccess(context, runTime);
            reply.answer = {result.status, std::move(result.contentType), std::move(result.body)};
            co_return reply;
        }
        runs->mayHaveRun |= result.outcome != RunOutcome::NotRun;
        // 3. Otherwise tries another minion if that is safe, in time and within the retry budget.
        bool again = mayRetry(context, *runs, result, Clock::now());
        if (again) {
            again = co_await retry(context, runs, result.failure);
        }
        if (!runs->failureToReport || result.outcome == RunOutcome::Answered) {
            runs->failureToReport = std::move(result);
        }
        // 4. Ends when no run is open and no retry was started.
        if (!again && runs->pending == 0 && runs->finished.empty()) {
            co_return finalReply(*runs);
        }
    }
}

} // namespace Papaya
