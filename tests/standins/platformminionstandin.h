#pragma once

#include "base/units.h"
#include "standins/standinserver.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Papaya::Standins
{

/** One run of a task, as the platform's minion recorded it. */
struct TaskRun {
    std::string task;
    std::uint32_t run = 0;
    std::string minion;
    std::string checkpoint;     ///< checkpoint that the run was started from; empty without one
    std::int64_t startedMs = 0; ///< milliseconds since the Unix epoch
    std::int64_t endedMs = 0;   ///< milliseconds since the Unix epoch; 0 during the run
    std::int64_t notedMs = 0;   ///< when the end was acknowledged, if the lease had not expired since; or 0
    std::int64_t ackedMs = 0;   ///< when the end was acknowledged, also after the lease had expired; or 0
    /** done, failed, stopped, lapsed (lease expired) or gone (minion restarted or lost power); empty during the run. */
    std::string how;
};

/** Faults that a test injects into a running minion. */
struct PlatformMinionFaults {
    bool unresponsive = false;      ///< no call is answered or carried out; tasks keep running
    bool silentPolls = false;       ///< no poll is answered or carried out
    bool failAll = false;           ///< every run fails immediately
    bool hang = false;              ///< no run makes progress
    std::int64_t lateStarts = 0;    ///< number of starts that are carried out after lateMs and get no answer
    std::int64_t lateOrders = 0;    ///< the same for orders of any kind: starts, stops and polls
    std::int64_t slowPolls = 0;     ///< number of polls that arrive after lateMs and are answered
    std::int64_t lateMs = 0;        ///< delay of a late order, in milliseconds
    std::int64_t garbledStarts = 0; ///< number of starts that are carried out and answered with 500
    std::int64_t refuseStarts = 0;  ///< number of starts that are refused with 409 and reason "room"
};

/**
 * Records every run on the minions of one test.
 *
 * A task is specified as JSON; every field is optional:
 * - "workMs": work to do, in milliseconds at full pace (default 100).
 * - "gang": members of the gang; work proceeds only once all of them have started (default 1).
 * - "fails": runs up to this number fail (default 0).
 * - "lasts": the task is long-running: it is at work after 100 ms and ends only when it is stopped.
 * - "tailMs": tail latency that the task reports, in milliseconds.
 * - "disturbedMs": tail latency added at full interference from tasks with "fills" on the same minion, in proportion
 *   to their pace.
 * - "fills": the task fills spare capacity and disturbs the tasks beside it.
 * - "calm": the task disturbs no other, although it fills spare capacity.
 * - "cores": most cores that the task uses and reports; its use, and by how much it disturbs, then vary with time.
 * - "advised": if false, a start needs no ticket from the admission oracle (default true).
 */
class PlatformRuns
{
public:
    /** @return all runs so far. */
    [[nodiscard]] std::vector<TaskRun> all() const;
    /** @return the runs of tasks whose name begins with @p prefix. */
    [[nodiscard]] std::vector<TaskRun> of(const std::string &prefix) const;
    /** @return a line for each pair of runs of one task that overlap, or where one started after the other was done. */
    [[nodiscard]] std::vector<std::string> doubled() const;

    /** Records the start of @p run. @return its index for end(). */
    std::size_t begin(TaskRun run);
    /** Records the end of the run at @p index. */
    void end(std::size_t index, const std::string &how);
    /** Records that the end of the run at @p index was acknowledged. @param inTime while the lease held */
    void note(std::size_t index, bool inTime);

private:
    mutable std::mutex m_mutex;
    std::vector<TaskRun> m_runs;
};

/**
 * A minion of the users' platform. It checks fencing tokens and leases, runs tasks and gangs with checkpoints, and
 * reports the end of each run until the end is acknowledged.
 */
class PlatformMinionStandin : public StandinServer
{
public:
    PlatformMinionStandin(std::string id, std::string service, std::string rack, PlatformRuns &runs);

    /** Publishes @p address instead of the minion's own, for a proxy. To be called before the next list(). */
    void advertise(const Endpoint &address);
    /** Starts to serve and publishes the minion's entry in @p store. Called once. */
    void start(Asio::io_context &io, class PlatformStoreStandin &store);
    void setFaults(const PlatformMinionFaults &faults);
    /** Publishes the state "draining". @param remainingMs time until the minion leaves, in milliseconds */
    void drain(std::int64_t remainingMs);
    /** Restarts under the same id: all runs end and all state is lost. */
    void restart();
    /** Restarts like restart(), but does not publish its new entry; list() does. */
    void restartUnlisted();
    /** Makes this instance seem to have started @p ms earlier. To be called before the next list(). */
    void age(std::int64_t ms);
    /**
     * Crashes, and another minion takes over its address: that one refuses what is meant for this one. Its entry stays
     * in the store.
     */
    void replaceByOther();
    /** Starts anew at its former address after replaceByOther(), but does not publish its new entry. */
    void comeBackUnlisted();
    /** Simulates loss of power: all runs end, no call is answered and the minion's entry is removed. */
    void powerOff();
    /** Restarts without state after powerOff(). */
    void powerOn();
    /** Refuses starts whose ticket @p oracle does not accept. */
    void requireTickets(const class PlatformOracleStandin &oracle);
    /** @return the pace of @p task in percent of full speed, or nothing if it is not running. */
    [[nodiscard]] std::optional<int> paceOf(const std::string &task) const;
    /** @return the current tail latency of @p task in milliseconds, or 0 if it is not running. */
    [[nodiscard]] std::int64_t tailOf(const std::string &task) const;
    /** @return the number of starts refused because of their ticket. */
    [[nodiscard]] std::size_t ticketsRefused() const;
    /** Sets the published capacity, which takes effect with the next list(). @param cpu thousandths of a core */
    void setCapacity(std::int64_t cpu, std::int64_t memoryMb, std::int64_t gpus);
    /** Sets the published failure domain, which takes effect with the next list(). */
    void setZone(const std::string &zone);
    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }
    /** @return the capacity that it publishes with the next list(). */
    [[nodiscard]] Resources capacity() const;
    [[nodiscard]] std::vector<std::string> labels() const
    {
        return {KIND, m_rack};
    }
    /** @return the highest fencing token seen since the last restart. */
    [[nodiscard]] std::uint64_t highestFence() const;
    /** @return the number of late orders that have been carried out or refused. */
    [[nodiscard]] std::size_t lateOrdersCarriedOut() const;
    /** @return the number of polls that were answered with a report. */
    [[nodiscard]] std::size_t pollsAnswered() const;
    /** @return how many polls have arrived and wait for an end. */
    [[nodiscard]] int pollsHeld() const
    {
        return m_pollsHeld;
    }
    /** @return how many polls are on their way, see PlatformMinionFaults::slowPolls. */
    [[nodiscard]] int pollsDelayed() const
    {
        return m_pollsDelayed;
    }
    /** @return the number of reported ends that have not been acknowledged. */
    [[nodiscard]] std::size_t unacknowledgedEnds() const;
    /** Publishes the minion's entry in the store. */
    void list();

protected:
    Asio::awaitable<HttpResponse> serve(HttpRequest request) override;
    HttpResponse control(const HttpRequest &request) override;

private:
    static constexpr const char *KIND = "a";

    struct Running {
        std::uint32_t run = 0;
        std::int64_t workMs = 0;
        std::int64_t doneMs = 0; ///< work done so far
        std::uint32_t gang = 1;
        std::uint32_t fails = 0; ///< runs up to this number fail
        std::int64_t startedMs = 0;
        std::size_t index = 0; ///< index in PlatformRuns
        std::optional<std::int64_t> stopAtMs;
        bool lasts = false;
        bool fills = false;
        std::int64_t tailMs = 0;
        std::int64_t disturbedMs = 0;
        bool calm = false;
        std::int64_t cores = 0;
        int pacePercent = 100;
    };
    struct End {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
        std::string checkpoint;
        std::size_t index = 0;     ///< index in PlatformRuns
        bool leaseExpired = false; ///< the minion's lease has expired since the end
    };

    static Asio::awaitable<void> advanceLoop(PlatformMinionStandin &self);
    [[nodiscard]] std::int64_t clock() const;
    void advance(std::int64_t byMs);
    [[nodiscard]] bool gangPresent(const std::string &task, const Running &running) const;
    void endRun(const std::string &task, const std::string &how);
    /** @return the delay after which the order at @p path is to be carried out; 0 if it is not late. */
    std::int64_t takeLateness(const std::string &path);
    /** @return how much later the next poll arrives, in milliseconds. */
    std::int64_t takePollDelay();
    /** Carries out a late order on the instance that runs by then. */
    Asio::awaitable<void> carryOutLate(std::string path, Json body, std::int64_t lateMs);
    HttpResponse startRun(const Json &body);
    HttpResponse stopRun(const Json &body);
    HttpResponse pace(const Json &body);
    [[nodiscard]] std::int64_t tailOf(const Running &running) const;
    /** @return how active a task is at present, in percent; constant within half a second. */
    [[nodiscard]] int activity(const std::string &task, const Running &running) const;
    void resetState();
    Asio::awaitable<HttpResponse> hold(Json body);
    Json report() const;
    HttpResponse refusal(const std::string &reason) const;
    bool fenced(const Json &body);
    [[nodiscard]] bool isMeantForThis(const HttpRequest &request) const;

    std::string m_id;
    std::string m_service;
    std::string m_rack;
    std::string m_zone = "here";
    std::optional<Endpoint> m_advertised; ///< published instead of the minion's own address
    PlatformRuns &m_runs;
    class PlatformStoreStandin *m_store = nullptr;
    const class PlatformOracleStandin *m_oracle = nullptr;
    std::size_t m_ticketsRefused = 0;
    std::size_t m_lateOrdersCarriedOut = 0;
    std::size_t m_pollsAnswered = 0;
    std::atomic<int> m_pollsHeld {0};
    std::atomic<int> m_pollsDelayed {0};
    bool m_poweredOff = false;
    bool m_replaced = false; ///< another minion has its address
    mutable std::mutex m_mutex;
    PlatformMinionFaults m_faults;
    std::int64_t m_bornMs;
    std::int64_t m_bornClockMs; ///< reading of the minion's clock at its start
    std::string m_state = "ready";
    std::int64_t m_remainingMs = 0;
    std::uint64_t m_sequence = 0;
    std::int64_t m_cpu = 64'000;
    std::int64_t m_memoryMb = 131'072;
    std::int64_t m_gpus = 8;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseUntilMs = 0;
    std::uint64_t m_endCount = 0;
    std::map<std::string, Running> m_running;
    std::map<std::string, std::uint32_t> m_lastRun; ///< highest run that was stopped or ended, by task
    std::vector<End> m_ends;
};

} // namespace Papaya::Standins
