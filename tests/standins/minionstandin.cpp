#include "standins/minionstandin.h"

namespace Papaya::Standins
{

namespace
{

constexpr std::string_view RUN = "/v1/run/";
constexpr Millis LATE_ANSWER_DELAY {3'000};

/** Decrements a counter of pending faults. @return true if a fault was pending. */
bool takeFault(std::int64_t &count)
{
    const bool any = count > 0;
    count -= any ? 1 : 0;
    return any;
}

} // namespace

MinionStandin::MinionStandin(std::string id, std::uint32_t slots)
    : m_id(std::move(id))
    , m_slots(slots)
{
}

void MinionStandin::setFaults(const MinionFaults &faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
}

MinionFaults MinionStandin::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

std::vector<MinionRun> MinionStandin::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

void MinionStandin::clearRuns()
{
    const std::lock_guard lock(m_mutex);
    m_runs.clear();
}

std::uint32_t MinionStandin::peak() const
{
    const std::lock_guard lock(m_mutex);
    return m_peak;
}

Asio::awaitable<HttpResponse> MinionStandin::serve(HttpRequest request)
{
    const std::string path(request.path());
    if (request.method != "POST" || !path.starts_with(RUN)) {
        co_return jsonAnswer(404, Json::object());
    }
    co_return co_await run(std::move(request), path.substr(RUN.size()));
}

Asio::awaitable<HttpResponse> MinionStandin::run(HttpRequest request, std::string work)
{
    const std::string id = request.fields.get(Field::REQUEST);
    HttpResponse response;
    std::int64_t delayMs = 0;
    bool mismatched = false;
    bool closeUnanswered = false;
    bool late = false;
    bool failing = false;
    {
        const std::lock_guard lock(m_mutex);
        response.fields.set(Field::REQUEST, id);
        if (m_faults.leaving) {
            response.fields.set(Field::LEAVING, "1");
        }
        if (m_busy >= m_slots) {
            response.status = 503;
            response.fields.set(Field::OUTCOME, "not-run");
            response.fields.set(Field::SLOTS_BUSY, std::to_string(m_busy));
            co_return response;
        }
        ++m_busy;
        m_peak = std::max(m_peak, m_busy);
        m_runs.push_back({id, work, request.body, Clock::now()});
        m_random ^= m_random << 13U;
        m_random ^= m_random >> 7U;
        m_random ^= m_random << 17U;
        const auto jitter = static_cast<std::int64_t>(m_random % static_cast<std::uint64_t>(m_faults.jitterMs + 1));
        failing = m_faults.failing;
        delayMs = failing ? 0 : m_faults.delayMs + jitter;
        // At most one of these faults applies to a run, so that none masks another.
        mismatched = takeFault(m_faults.mismatchedAnswers);
        closeUnanswered = !mismatched && takeFault(m_faults.closeAfterRun);
        late = !mismatched && !closeUnanswered && takeFault(m_faults.lateAnswers);
    }
    if (delayMs > 0) {
        co_await sleepFor(Millis(delayMs));
    }
    std::uint32_t busy = 0;
    {
        const std::lock_guard lock(m_mutex);
        busy = --m_busy;
    }
    if (late) {
        co_await sleepFor(LATE_ANSWER_DELAY);
    }
    response.status = closeUnanswered ? 0 : (failing ? 500 : 200);
    response.fields.set(Field::SLOTS_BUSY, std::to_string(busy));
    response.fields.set(Field::CONTENT_TYPE, "application/json");
    response.body = Json {{"minion", m_id}, {"request", id}, {"echo", request.body}}.dump();
    if (mismatched) {
        response.fields.set(Field::REQUEST, "r-of-somebody-else");
        response.body = Json {{"minion", m_id}, {"request", "r-of-somebody-else"}, {"echo", "not yours"}}.dump();
    }
    co_return response;
}

HttpResponse MinionStandin::control(const HttpRequest &request)
{
    const Json body = bodyOf(request);
    const std::lock_guard lock(m_mutex);
    m_faults.delayMs = body.value("delayMs", m_faults.delayMs);
    m_faults.jitterMs = body.value("jitterMs", m_faults.jitterMs);
    m_faults.failing = body.value("failing", m_faults.failing);
    m_faults.leaving = body.value("leaving", m_faults.leaving);
    return jsonAnswer(200, Json {{"runs", m_runs.size()}});
}

} // namespace Papaya::Standins
