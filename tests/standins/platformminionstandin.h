#pragma once

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

/** One run of a task, as the platform's minions saw it. */
struct TaskRun {
    std::string task;
    std::uint32_t run = 0;
    std::string minion;
    std::string checkpoint;     ///< that it was started with
    std::int64_t startedMs = 0; ///< milliseconds since 1970
    std::int64_t endedMs = 0;   ///< 0 while it runs
    std::string how;            ///< empty while it runs
};

/** Faults of a minion, switchable while it runs. */
struct PlatformMinionFaults {
    bool unresponsive = false;   ///< no call is answered or carried out; what runs goes on
    bool failAll = false;        ///< every run fails at once
    bool hang = false;           ///< no run makes progress
    std::int64_t lateStarts = 0; ///< starts without an answer that are carried out after lateMs
    std::int64_t lateMs = 0;
    std::int64_t refuseStarts = 0; ///< starts that are answered with 409 and "room"
};

/**
 * What the minions of a test have done. The specification of a task is JSON: {"workMs": n, "gang": members, "fails":
 * runs}. A task that {"lasts": true} is at work after 100 ms until it is stopped, and serves with a tail of "tailMs"
 * and up to "disturbedMs" more, by the share at which tasks with {"fills": true} work beside it. One that is
 * {"advised": false} needs no ticket.
 */
class PlatformRuns
{
public:
    /** @return all runs so far. */
    [[nodiscard]] std::vector<TaskRun> all() const;
    /** @return the runs of tasks whose name begins with @p prefix. */
    [[nodiscard]] std::vector<TaskRun> of(const std::string &prefix) const;
    /** @return a line for each task that ran twice at one time, or began after a run of it had ended as done. */
    [[nodiscard]] std::vector<std::string> doubled() const;

    std::size_t begin(TaskRun run);
    void end(std::size_t index, const std::string &how);

private:
    mutable std::mutex m_mutex;
    std::vector<TaskRun> m_runs;
};

/** A minion of the platform: leases, fences, runs, ends, checkpoints and gangs. */
class PlatformMinionStandin : public StandinServer
{
public:
    PlatformMinionStandin(std::string id, std::string service, std::string rack, PlatformRuns &runs);

    /** Serves and lists itself in @p store; called once. */
    void start(Asio::io_context &io, class PlatformStoreStandin &store);
    void setFaults(const PlatformMinionFaults &faults);
    /** Lists itself as draining. */
    void drain(std::int64_t remainingMs);
    /** Ends everything and begins a new life under the same id. */
    void restart();
    /** Loses power: everything ends and its entry goes. */
    void powerOff();
    /** Begins a new life after powerOff(). */
    void powerOn();
    /** Asks @p oracle whether the ticket of a start is good. */
    void requireTickets(const class PlatformOracleStandin &oracle);
    /** @return the share at which @p task works, in percent; nothing if it does not run. */
    [[nodiscard]] std::optional<int> paceOf(const std::string &task) const;
    /** @return the present tail of @p task. */
    [[nodiscard]] std::int64_t tailOf(const std::string &task) const;
    /** @return starts that were refused for their ticket. */
    [[nodiscard]] std::size_t ticketsRefused() const;
    /** Gives itself this capacity (thousandths of a core, MB, GPUs) from now on. */
    void setCapacity(std::int64_t cpu, std::int64_t memoryMb, std::int64_t gpus);
    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }
    [[nodiscard]] std::uint64_t highestFence() const;
    /** @return ends that have not been acknowledged. */
    [[nodiscard]] std::size_t unacknowledgedEnds() const;
    /** Writes its entry. */
    void list();

protected:
    Asio::awaitable<HttpResponse> serve(HttpRequest request) override;
    HttpResponse control(const HttpRequest &request) override;

private:
    struct Running {
        std::uint32_t run = 0;
        std::int64_t workMs = 0;
        std::int64_t doneMs = 0; ///< of the work
        std::uint32_t gang = 1;
        std::uint32_t fails = 0; ///< runs up to this number fail
        std::int64_t startedMs = 0;
        std::size_t index = 0; ///< in the runs of the test
        std::optional<std::int64_t> stopAtMs;
        bool lasts = false;
        bool fills = false;
        std::int64_t tailMs = 0;
        std::int64_t disturbedMs = 0;
        int pacePercent = 100;
    };
    struct End {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
        std::string checkpoint;
    };

    static Asio::awaitable<void> advanceLoop(PlatformMinionStandin &self);
    [[nodiscard]] std::int64_t clock() const;
    void advance(std::int64_t byMs);
    [[nodiscard]] bool gangPresent(const std::string &task, const Running &running) const;
    void endRun(const std::string &task, const std::string &how);
    HttpResponse startRun(const Json &body);
    HttpResponse stopRun(const Json &body);
    HttpResponse pace(const Json &body);
    [[nodiscard]] std::int64_t tailOf(const Running &running) const;
    void resetState();
    Asio::awaitable<HttpResponse> hold(Json body);
    Json report() const;
    HttpResponse refusal(const std::string &reason) const;
    bool fenced(const Json &body);

    std::string m_id;
    std::string m_service;
    std::string m_rack;
    PlatformRuns &m_runs;
    class PlatformStoreStandin *m_store = nullptr;
    const class PlatformOracleStandin *m_oracle = nullptr;
    std::size_t m_ticketsRefused = 0;
    bool m_poweredOff = false;
    mutable std::mutex m_mutex;
    PlatformMinionFaults m_faults;
    std::int64_t m_bornMs;
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
