#pragma once

#include "standins/standinserver.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Papaya::Standins
{

/** Faults of a minion, switchable while it runs. */
struct MinionFaults {
    std::int64_t delayMs = 5;           ///< time of a run
    std::int64_t jitterMs = 0;          ///< added to the time of a run, uniformly
    bool failing = false;               ///< every run is answered with 500 at once
    bool leaving = false;               ///< says so in each answer
    std::int64_t mismatchedAnswers = 0; ///< answers that carry another request's id
    std::int64_t closeAfterRun = 0;     ///< runs whose connection is closed instead of answered
    std::int64_t lateAnswers = 0;       ///< answers that come after every deadline
};

/** One run that the minion began. */
struct MinionRun {
    std::string request;
    std::string work;
    std::string body;
    TimePoint begin;
};

/** A minion with slots that records every run. */
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
    /** @return the most runs that were in progress at one time. */
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
