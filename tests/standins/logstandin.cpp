#include "standins/logstandin.h"

#include <boost/asio/this_coro.hpp>

namespace Papaya::Standins
{

namespace
{

constexpr std::string_view STREAMS = "/v1/streams/";
constexpr Millis SILENCE_DURATION {120'000};

} // namespace

void LogStandin::setFaults(const LogFaults &faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
}

void LogStandin::setAppendHook(std::function<void(const std::string &, const std::string &)> hook)
{
    const std::lock_guard lock(m_mutex);
    m_appendHook = std::move(hook);
}

LogFaults LogStandin::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

std::vector<std::string> LogStandin::records(const std::string &stream) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> all;
    const auto found = m_streams.find(stream);
    if (found != m_streams.end()) {
        for (const Record &record : found->second.records) {
            all.push_back(record.data);
        }
    }
    return all;
}

void LogStandin::append(const std::string &stream, const std::string &data)
{
    {
        const std::lock_guard lock(m_mutex);
        m_streams[stream].records.push_back({nowMs(), data});
    }
    m_appended.notifyAll();
}

std::pair<std::uint64_t, std::uint64_t> LogStandin::kept(const std::string &stream)
{
    const std::lock_guard lock(m_mutex);
    Stream &found = m_streams[stream];
    expire(found);
    return {found.start, found.end()};
}

std::uint64_t LogStandin::appends() const
{
    const std::lock_guard lock(m_mutex);
    return m_appends;
}

void LogStandin::expire(Stream &stream) const
{
    const std::int64_t oldest = nowMs() - m_faults.retentionMs;
    while (!stream.records.empty() && stream.records.front().timeMs < oldest) {
        stream.records.pop_front();
        ++stream.start;
    }
}

Asio::awaitable<HttpResponse> LogStandin::serve(HttpRequest request)
{
    const LogFaults now = faults();
    if (now.delayMs > 0) {
        co_await sleepFor(Millis(now.delayMs));
    }
    if (faults().silent) {
        co_await sleepFor(SILENCE_DURATION);
    }
    if (faults().outage) {
        co_return jsonAnswer(503, Json::object());
    }
    const std::string path(request.path());
    if (!path.starts_with(STREAMS)) {
        co_return jsonAnswer(404, Json::object());
    }
    const std::string name = path.substr(STREAMS.size());
    if (request.method == "POST") {
        co_return co_await append(name, request);
    }
    co_return co_await read(name, request);
}

Asio::awaitable<HttpResponse> LogStandin::append(const std::string &name, const HttpRequest &request)
{
    const Json body = bodyOf(request);
    const Json records = body.value("records", Json::array());
    std::uint64_t first = 0;
    bool lose = false;
    std::function<void(const std::string &, const std::string &)> hook;
    {
        const std::lock_guard lock(m_mutex);
        hook = m_appendHook;
        Stream &stream = m_streams[name];
        first = stream.end();
        for (const Json &record : records) {
            stream.records.push_back({nowMs(), record.get<std::string>()});
        }
        ++m_appends;
        lose = m_faults.loseAnswers > 0;
        m_faults.loseAnswers -= lose ? 1 : 0;
    }
    for (std::size_t i = 0; hook && i < records.size(); ++i) {
        hook(name, records[i].get<std::string>());
    }
    m_appended.notifyAll();
    HttpResponse response = jsonAnswer(200, Json {{"offset", first}});
    response.status = lose ? 0 : response.status;
    co_return response;
}

Asio::awaitable<HttpResponse> LogStandin::read(const std::string &name, const HttpRequest &request)
{
    const auto from = static_cast<std::uint64_t>(queryNumber(request, "from", 0));
    const auto limit = static_cast<std::size_t>(queryNumber(request, "limit", 100));
    const TimePoint until = Clock::now() + Millis(queryNumber(request, "waitMs", 0));
    const auto executor = co_await Asio::this_coro::executor;
    while (true) {
        auto waiter = m_appended.subscribe(executor);
        {
            const std::lock_guard lock(m_mutex);
            Stream &stream = m_streams[name];
            expire(stream);
            if (from < stream.start) {
                co_return jsonAnswer(410, Json {{"start", stream.start}});
            }
            if (from < stream.end() || Clock::now() >= until || m_faults.outage) {
                Json records = Json::array();
                for (std::uint64_t i = from; i < stream.end() && records.size() < limit; ++i) {
                    const Record &record = stream.records[i - stream.start];
                    records.push_back({{"offset", i}, {"timeMs", record.timeMs}, {"data", record.data}});
                }
                co_return jsonAnswer(m_faults.outage ? 503 : 200,
                                     Json {{"start", stream.start}, {"end", stream.end()}, {"records", records}});
            }
        }
        co_await waiter->wait(until);
    }
}

HttpResponse LogStandin::control(const HttpRequest &request)
{
    const Json body = bodyOf(request);
    const std::lock_guard lock(m_mutex);
    m_faults.outage = body.value("outage", m_faults.outage);
    m_faults.silent = body.value("silent", m_faults.silent);
    m_faults.delayMs = body.value("delayMs", m_faults.delayMs);
    m_faults.loseAnswers = body.value("loseAnswers", m_faults.loseAnswers);
    m_faults.retentionMs = body.value("retentionMs", m_faults.retentionMs);
    return jsonAnswer(200, Json {{"appends", m_appends}});
}

} // namespace Papaya::Standins
