#include "connection/minionclient.h"

#include <algorithm>
#include <charconv>

namespace Papaya
{

namespace
{

constexpr int STATUS_BUSY = 503;
constexpr Millis IDEMPOTENT_MAX_IDLE_TIME {30'000};
constexpr Millis NON_IDEMPOTENT_MAX_IDLE_TIME {1'000}; // a connection idle for longer may have died unnoticed

std::optional<std::uint32_t> toCount(const std::string &text)
{
    std::uint32_t number = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || status != std::errc {} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

RunFailure toFailure(FailureKind kind)
{
    switch (kind) {
    case FailureKind::Unreachable:
        return RunFailure::Unreachable;
    case FailureKind::Timeout:
        return RunFailure::Timeout;
    case FailureKind::Closed:
        return RunFailure::Closed;
    case FailureKind::Malformed:
    case FailureKind::Withdrawn: // requests to minions are never withdrawn
        return RunFailure::Malformed;
    }
    return RunFailure::Malformed;
}

RunResult failedResult(const HttpError &error)
{
    RunResult result;
    result.outcome = error.stage() == FailureStage::Connect ? RunOutcome::NotRun : RunOutcome::Unknown;
    result.failure = toFailure(error.kind());
    return result;
}

class HttpMinionClient : public MinionClient
{
public:
    explicit HttpMinionClient(HttpPool &pool)
        : m_pool(pool)
    {
    }

    Asio::awaitable<RunResult> run(Endpoint minion, RunRequest run, TimePoint deadline) override
    {
        RunResult result;
        bool reused = false;
        try {
            const Duration idleTimeLimit = run.idempotent ? IDEMPOTENT_MAX_IDLE_TIME : NON_IDEMPOTENT_MAX_IDLE_TIME;
            const Duration maxIdleTime = run.forceNewConnection ? Duration::zero() : idleTimeLimit;
            HttpConnectionPtr connection = co_await m_pool.acquire(minion, maxIdleTime, deadline);
            reused = connection->reused();
            const HttpRequest request = toRequest(run, deadline);
            HttpResponse response = co_await connection->exchange(request, deadline);
            result = toResult(run, std::move(response));
            if (result.failure != RunFailure::CrossedAnswer) {
                m_pool.release(minion, std::move(connection));
            }
        } catch (const HttpError &error) {
            result = failedResult(error);
        }
        result.reusedConnection = reused;
        // The cause may affect the other idle connections to this minion too.
        if (result.failure == RunFailure::Timeout) {
            m_pool.dropIdle(minion);
        }
        co_return result;
    }

private:
    static HttpRequest toRequest(const RunRequest &run, TimePoint deadline)
    {
        HttpRequest request {"POST", "/v1/run/" + run.templateName.value(), {}, run.body};
        const std::int64_t remainingMs = std::max<std::int64_t>(0, toMillis(deadline - Clock::now()));
        request.fields.append(Field::REQUEST, run.id.value());
        request.fields.append(Field::DEADLINE_MS, std::to_string(remainingMs));
        if (!run.contentType.empty()) {
            request.fields.append(Field::CONTENT_TYPE, run.contentType);
        }
        return request;
    }

    static RunResult toResult(const RunRequest &run, HttpResponse response)
    {
        RunResult result;
        if (response.fields.get(Field::REQUEST) != run.id.value()) {
            result.failure = RunFailure::CrossedAnswer;
            return result;
        }
        result.slotsBusy = toCount(response.fields.get(Field::SLOTS_BUSY));
        result.leaving = response.fields.get(Field::LEAVING) == "1";
        if (response.status == STATUS_BUSY && response.fields.get(Field::OUTCOME) == "not-run") {
            result.outcome = RunOutcome::NotRun;
            result.failure = RunFailure::Busy;
            return result;
        }
        result.outcome = RunOutcome::Answered;
        result.status = response.status;
        result.contentType = response.fields.get(Field::CONTENT_TYPE);
        result.body = std::move(response.body);
        return result;
    }

    HttpPool &m_pool;
};

} // namespace

const char *toString(RunFailure failure)
{
    switch (failure) {
    case RunFailure::None:
        return "none";
    case RunFailure::Unreachable:
        return "unreachable";
    case RunFailure::Busy:
        return "busy";
    case RunFailure::Timeout:
        return "timeout";
    case RunFailure::Closed:
        return "closed";
    case RunFailure::Malformed:
        return "malformed";
    case RunFailure::CrossedAnswer:
        return "crossed-answer";
    }
    return "none";
}

std::unique_ptr<MinionClient> makeHttpMinionClient(HttpPool &pool)
{
    return std::make_unique<HttpMinionClient>(pool);
}

} // namespace Papaya
