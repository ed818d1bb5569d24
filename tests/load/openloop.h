#pragma once

#include "integration/cluster.h"

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <vector>

// Open-loop load on a cluster: requests go out when they are due, whatever became of earlier ones, and a late answer
// counts from when its request was due.

namespace Papaya::Testing
{

/** One stream of requests. */
struct Stream {
    std::string name;
    std::string team;
    std::string caller;
    std::string templateName;
    double perSecond = 0;
    Millis deadline {800};
};

/** What came of a stream. */
struct StreamResult {
    std::vector<double> milliseconds; ///< of answers in time
    std::size_t sent = 0;
    std::size_t good = 0; ///< answered in time

    /** @return the share of requests that were answered in time. */
    [[nodiscard]] double goodput() const;
    /** @return the quantile @p q of the times of answers, in milliseconds; 0 without answers. */
    [[nodiscard]] double quantile(double q) const;
    void add(const StreamResult &other);
};

/** Sends streams at a cluster. */
class OpenLoopLoad
{
public:
    OpenLoopLoad(Cluster &cluster, std::uint64_t seed);

    /** Sends @p streams for @p duration. @return a result for each, once all answers are in */
    std::vector<StreamResult> run(const std::vector<Stream> &streams, Millis duration);

private:
    void send(const Stream &stream, std::size_t index, TimePoint begin, Millis duration, std::uint64_t seed);
    static Asio::awaitable<void> sendRequest(OpenLoopLoad &self, Stream stream, std::size_t index, Endpoint entry,
                                             TimePoint due);

    Cluster &m_cluster;
    HttpPool m_pool;
    std::mt19937_64 m_random;
    std::mutex m_mutex;
    std::vector<StreamResult> m_results;
    std::atomic<std::size_t> m_pending {0};
};

} // namespace Papaya::Testing
