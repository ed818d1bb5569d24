#include "process/requestservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>

// The runs of one admitted request: the first, the retries and the hedge, until one has answered or nothing is left.

namespace Papaya
{

namespace
{

constexpr double RETRY_SHARE = 0.1; // retries earned by each success
constexpr double RETRY_RESERVE = 10;
constexpr double HEDGE_SHARE = 0.05;
constexpr double HEDGE_RESERVE = 5;
constexpr Millis ASSUMED_RUN {20}; // before a template's own runs have been measured
constexpr Millis MIN_ATTEMPT {50};
constexpr Millis MIN_HEDGE_DELAY {5};
constexpr int ATTEMPT_P95_FACTOR = 4;
constexpr Millis BUSY_PAUSE {3};         // before the minions are tried again after all that were tried were busy
constexpr std::size_t BUSY_TRIES = 3;    // busy minions tried between two pauses
constexpr std::size_t MAX_LOST_KEPT = 2; // retries of a request that lost kept connections pay for
constexpr int FIRST_FAILURE_STATUS = 500;

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
    return result.outcome == RunOutcome::Answered && result.status < FIRST_FAILURE_STATUS;
}

} // namespace

RequestService::TemplateState::TemplateState()
    : retries(RETRY_SHARE, RETRY_RESERVE)
    , hedges(HEDGE_SHARE, HEDGE_RESERVE)
{
}

struct RequestService::Race {
    struct FinishedRun {
        RunResult result;
        Duration time {0};
    };

    explicit Race(Asio::any_io_executor strand)
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
    std::size_t lostKept = 0;         ///< runs that were lost with a kept connection
    std::optional<RunResult> worst;   ///< what is told if nothing better comes
    std::optional<TimePoint> hedgeAt; ///< unless a hedge has been considered
    bool mayHaveRun = false;
};

Duration RequestService::expectedTime(const Context &context)
{
    const std::lock_guard lock(m_mutex);
    return m_templates[context.templateName].latency.median(ASSUMED_RUN);
}

Duration RequestService::neededTime(const Context &context)
{
    const std::lock_guard lock(m_mutex);
    return m_templates[context.templateName].latency.cappedP99(ASSUMED_RUN);
}

void RequestService::learn(const Context &context, Duration runTime)
{
    const std::lock_guard lock(m_mutex);
    TemplateState &state = m_templates[context.templateName];
    state.latency.add(runTime);
    state.retries.earn();
    state.hedges.earn();
}

TimePoint RequestService::attemptDeadline(const Context &context, TimePoint now)
{
    // A request that may run once has one try, which gets all the time there is.
    if (!context.work->idempotent) {
        return context.deadline;
    }
    const Duration half = (context.deadline - now) / 2;
    const std::lock_guard lock(m_mutex);
    const LatencyEstimate &latency = m_templates[context.templateName].latency;
    // Half of the time is kept for a second try, unless that leaves too little for the first.
    if (half < latency.cappedP99(half)) {
        return context.deadline;
    }
    return now + std::min(half, std::max<Duration>(MIN_ATTEMPT, latency.p95(half) * ATTEMPT_P95_FACTOR));
}

std::optional<TimePoint> RequestService::hedgeTime(const Context &context, TimePoint now)
{
    if (!context.work->idempotent || context.work->urgency != Urgency::Urgent) {
        return std::nullopt;
    }
    const std::lock_guard lock(m_mutex);
    const Duration delay = m_templates[context.templateName].latency.p95(context.deadline - now);
    return now + std::max<Duration>(MIN_HEDGE_DELAY, delay);
}

bool RequestService::launch(const Context &context, const std::shared_ptr<Race> &race, TimePoint deadline)
{
    const auto minion = m_minions.begin(race->tried);
    if (!minion) {
        return false;
    }
    race->tried.insert(minion->id);
    ++race->pending;
    RunRequest run;
    run.id = context.id;
    run.templateName = context.templateName;
    run.contentType = context.contentType;
    run.body = context.body;
    run.idempotent = context.work->idempotent;
    run.freshConnection = race->lostKept > 0;
    Asio::co_spawn(race->executor, runOnce(*this, race, *minion, std::move(run), deadline), Asio::detached);
    return true;
}

Asio::awaitable<void> RequestService::runOnce(RequestService &self, std::shared_ptr<Race> race, ChosenMinion minion,
                                              RunRequest run, TimePoint deadline)
{
    const TimePoint begin = Clock::now();
    RunResult result = co_await self.m_client.run(minion.address, std::move(run), deadline);
    self.m_minions.finish(minion.id, result);
    --race->pending;
    race->finished.push_back({std::move(result), Clock::now() - begin});
    race->waiter->notify();
}

bool RequestService::mayRetry(const Context &context, Race &race, const RunResult &result, TimePoint now)
{
    const bool safe = context.work->idempotent || result.outcome == RunOutcome::NotRun;
    if (!safe) {
        m_metrics.count(RetryReason::DeniedNotIdempotent);
        return false;
    }
    if (now + expectedTime(context) >= context.deadline) {
        m_metrics.count(RetryReason::DeniedByDeadline);
        return false;
    }
    // A busy minion has done nothing, and a connection that went silent while it was kept is no failure of a minion, so
    // neither is paid for from the budget.
    const bool lostKept = result.keptConnection && result.outcome == RunOutcome::Unknown
                          && result.failure != RunFailure::CrossedAnswer && race.lostKept < MAX_LOST_KEPT;
    race.lostKept += lostKept ? 1U : 0U;
    if (result.failure != RunFailure::Busy && !lostKept) {
        const std::lock_guard lock(m_mutex);
        if (!m_templates[context.templateName].retries.spend()) {
            m_metrics.count(RetryReason::DeniedByBudget);
            return false;
        }
    }
    m_metrics.count(toRetryReason(result.failure));
    return true;
}

Asio::awaitable<bool> RequestService::retry(const Context &context, const std::shared_ptr<Race> &race,
                                            RunFailure failure)
{
    const bool busy = failure == RunFailure::Busy;
    const bool pause = busy && ++race->busyTries % BUSY_TRIES == 0;
    if (!pause && launch(context, race, attemptDeadline(context, Clock::now()))) {
        co_return true;
    }
    // Every minion has been tried. A busy one may have room a moment later, and a failing one beats none.
    race->tried.clear();
    if (busy) {
        co_await sleepFor(BUSY_PAUSE);
    }
    if (Clock::now() >= context.deadline) {
        co_return false;
    }
    co_return launch(context, race, attemptDeadline(context, Clock::now()));
}

void RequestService::hedge(const Context &context, const std::shared_ptr<Race> &race)
{
    race->hedgeAt.reset();
    // A second run must not take a slot that another request waits for.
    if (m_gate.queued() > 0) {
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        if (!m_templates[context.templateName].hedges.spend()) {
            return;
        }
    }
    if (launch(context, race, context.deadline)) {
        m_metrics.count(Counter::HedgesSent);
    }
}

Asio::awaitable<bool> RequestService::waitForRun(const Context &context, const std::shared_ptr<Race> &race)
{
    while (race->finished.empty()) {
        race->waiter = Waiter::create(race->executor);
        const TimePoint until = race->hedgeAt ? std::min(*race->hedgeAt, context.deadline) : context.deadline;
        co_await race->waiter->wait(until);
        if (!race->finished.empty()) {
            break;
        }
        if (Clock::now() >= context.deadline) {
            co_return false;
        }
        hedge(context, race);
    }
    co_return true;
}

RequestService::Ending RequestService::endingOf(Race &race)
{
    Ending ending;
    // A failing answer of a minion is an answer all the same.
    if (race.worst->outcome == RunOutcome::Answered) {
        ending.answer = {race.worst->status, std::move(race.worst->contentType), std::move(race.worst->body)};
    } else if (race.mayHaveRun) {
        ending.refusal = Refusal::RunUnknown;
    } else if (race.worst->failure == RunFailure::Busy) {
        ending.refusal = Refusal::MinionsBusy;
    } else {
        ending.refusal = Refusal::MinionsUnreachable;
    }
    return ending;
}

Asio::awaitable<RequestService::Ending> RequestService::runWithRetries(Context &context)
{
    Ending ending;
    auto race = std::make_shared<Race>(co_await Asio::this_coro::executor);
    const TimePoint begin = Clock::now();
    if (begin >= context.deadline) {
        ending.refusal = Refusal::DeadlinePassed;
        co_return ending;
    }
    if (!launch(context, race, attemptDeadline(context, begin))) {
        ending.refusal = Refusal::NoMinion;
        co_return ending;
    }
    race->hedgeAt = hedgeTime(context, begin);
    while (true) {
        // 1. Waits for a run to end. The minion client ends at the same deadline; its result is unknown by then.
        if (!co_await waitForRun(context, race)) {
            ending.refusal = Refusal::RunUnknown;
            co_return ending;
        }
        RunResult result = std::move(race->finished.back().result);
        const Duration runTime = race->finished.back().time;
        race->finished.pop_back();
        // 2. A good answer ends the request, whichever run it came from.
        if (isGoodAnswer(result)) {
            learn(context, runTime);
            ending.answer = {result.status, std::move(result.contentType), std::move(result.body)};
            co_return ending;
        }
        race->mayHaveRun |= result.outcome != RunOutcome::NotRun;
        // 3. Otherwise another minion is tried if that is safe, in time and within the budget.
        bool again = mayRetry(context, *race, result, Clock::now());
        if (again) {
            again = co_await retry(context, race, result.failure);
        }
        if (!race->worst || result.outcome == RunOutcome::Answered) {
            race->worst = std::move(result);
        }
        // 4. Ends when nothing is left to wait for.
        if (!again && race->pending == 0 && race->finished.empty()) {
            co_return endingOf(*race);
        }
    }
}

} // namespace Papaya
