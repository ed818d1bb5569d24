#include "load/openloop.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <thread>

namespace Papaya::Testing
{

namespace
{

constexpr Millis MAX_IDLE_TIME {20'000};
constexpr Millis RESPONSE_TIMEOUT {6'000};
constexpr Millis DRAIN_TIMEOUT {15'000};
constexpr Millis START_DELAY {50};

} // namespace

double StreamResult::goodput() const
{
    return static_cast<double>(good) / static_cast<double>(std::max<std::size_t>(1, sent));
}

double StreamResult::quantile(double q) const
{
    if (milliseconds.empty()) {
        return 0;
    }
    std::vector<double> sorted = milliseconds;
    std::sort(sorted.begin(), sorted.end());
    return sorted[static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1))];
}

void StreamResult::add(const StreamResult &other)
{
    milliseconds.insert(milliseconds.end(), other.milliseconds.begin(), other.milliseconds.end());
    sent += other.sent;
    good += other.good;
}

OpenLoopLoad::OpenLoopLoad(Cluster &cluster, std::uint64_t seed)
    : m_cluster(cluster)
    , m_pool(cluster.io)
    , m_random(seed)
{
}

std::vector<StreamResult> OpenLoopLoad::run(const std::vector<Stream> &streams, Millis duration)
{
    m_results.assign(streams.size(), {});
    std::vector<std::thread> threads;
    const TimePoint begin = Clock::now() + START_DELAY;
    for (std::size_t i = 0; i < streams.size(); ++i) {
        threads.emplace_back([&, i, seed = m_random()] { send(streams[i], i, begin, duration, seed); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    Cluster::eventually([&] { return m_pending == 0; }, DRAIN_TIMEOUT);
    const std::lock_guard lock(m_mutex);
    return m_results;
}

void OpenLoopLoad::send(const Stream &stream, std::size_t index, TimePoint begin, Millis duration, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> interarrivalSeconds(stream.perSecond);
    TimePoint due = begin;
    std::size_t count = 0;
    while (due < begin + duration) {
        due += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interarrivalSeconds(random)));
        std::this_thread::sleep_until(due);
        ++m_pending;
        const Endpoint entry = m_cluster.callers(count++ % m_cluster.instances.size());
        Asio::co_spawn(Asio::make_strand(m_cluster.io), sendRequest(*this, stream, index, entry, due), Asio::detached);
    }
}

Asio::awaitable<void> OpenLoopLoad::sendRequest(OpenLoopLoad &self, Stream stream, std::size_t index, Endpoint entry,
                                                TimePoint due)
{
    HttpRequest request {"POST", "/v1/requests/" + stream.templateName, {}, "x"};
    request.fields.set(Field::TEAM, stream.team);
    request.fields.set(Field::CALLER, stream.caller);
    int status = 0;
    try {
        HttpConnectionPtr connection = co_await self.m_pool.acquire(entry, MAX_IDLE_TIME, due + RESPONSE_TIMEOUT);
        const HttpResponse response = co_await connection->exchange(request, due + RESPONSE_TIMEOUT);
        status = response.status;
        self.m_pool.release(entry, std::move(connection));
    } catch (const HttpError &) {
        status = 0;
    }
    const Duration latency = Clock::now() - due;
    {
        const std::lock_guard lock(self.m_mutex);
        StreamResult &result = self.m_results[index];
        ++result.sent;
        if (status == 200 && latency <= stream.deadline) {
            ++result.good;
            result.milliseconds.push_back(std::chrono::duration<double, std::milli>(latency).count());
        }
    }
    --self.m_pending;
}

} // namespace Papaya::Testing
