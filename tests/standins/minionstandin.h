#pragma once

#include "standins/standinserver.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Papaya::Standins
{

/** Behaviour and faults that a test sets on a running minion. */
struct MinionFaults {
    std::int64_t delayMs = 5;           ///< duration of a run, in milliseconds
    std::int64_t jitterMs = 0;          ///< upper bound of a uniform random addition to the duration, in milliseconds
    bool failing = false;               ///< every run is answered with 500 immediately
    bool leaving = false;               ///< each answer announces that the minion is leaving
    std::int64_t mismatchedAnswers = 0; ///< number of answers that carry the id of another request
    std::int64_t closeAfterRun = 0;     ///< number of runs after which the connection is closed without an answer
    std::int64_t lateAnswers = 0;       ///< number of answers that come 3 s late, after every deadline
};

/** One run that the minion started. */
struct MinionRun {
    std::string request;
    std::string work;
    std::string body;
    TimePoint begin;
};

/** A minion with a fixed number of slots that records every run. */
class MinionStandin : public StandinServer
{
public:
    MinionStandin(std::string id, std::uint32_t slots);

    void setFaults(const MinionFaults &faults);
    [[nodiscard]] MinionFaults faults() const;
    [[nodiscard]] std::vector<MinionRun> runs() const;
    void clearRuns();
    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }
    [[nodiscard]] std::uint32_t slots() const
    {
        return m_slots;
    }
    /** @return the largest number of concurrent runs so far. */
    [[nodiscard]] std::uint32_t peak() const;

protected:
    Asio::awaitable<HttpResponse> serve(HttpRequest request) override;
    HttpResponse control(const HttpRequest &request) override;

private:
    Asio::awaitable<HttpResponse> run(HttpRequest request, std::string work);

    const std::string m_id;
    const std::uint32_t m_slots;
    mutable std::mutex m_mutex;
    MinionFaults m_faults;
    std::vector<MinionRun> m_runs;
    std::uint32_t m_busy = 0;
    std::uint32_t m_peak = 0;
    std::uint64_t m_random = 88172645463325252ULL;
};

} // namespace Papaya::Standins
