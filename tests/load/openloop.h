#pragma once

#include "integration/cluster.h"

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <vector>

// Generates open-loop load: requests are sent at their due times, even if earlier ones are still unanswered. Latency is
// measured from the due time, so that delays of the generator count as well.

namespace Papaya::Testing
{

/** A stream of requests with exponentially distributed interarrival times. */
struct Stream {
    std::string name;
    std::string team;
    std::string caller;
    std::string templateName;
    double perSecond = 0;
    Millis deadline {800};
};

/** Measurements of a stream. */
struct StreamResult {
    std::vector<double> milliseconds; ///< latencies of successful responses within the deadline
    std::size_t sent = 0;
    std::size_t good = 0; ///< requests answered successfully within the deadline

    /** @return the fraction of requests answered successfully within the deadline; 0 if none was sent. */
    [[nodiscard]] double goodput() const;
    /** @return quantile @p q of the latencies in milliseconds; 0 if there are none. */
    [[nodiscard]] double quantile(double q) const;
    /** Merges the measurements of another stream. */
    void add(const StreamResult &other);
};

/** Sends streams of requests to the instances of a cluster in turn. */
class OpenLoopLoad
{
public:
    OpenLoopLoad(Cluster &cluster, std::uint64_t seed);

    /**
     * Sends @p streams for @p duration, then waits up to 15 s for the outstanding responses.
     * @return one result for each stream
     */
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
