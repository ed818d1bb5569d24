#pragma once

#include "base/units.h"
#include "standins/standinserver.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Papaya::Standins
{

/** Behaviour and faults that a test sets on a running worker. */
struct WorkerFaults {
    std::int64_t runMs = 200;       ///< running time of a task, in milliseconds
    std::int64_t reportLagMs = 100; ///< age of the task states in a report, in milliseconds
    bool failing = false;           ///< every task fails within 20 ms of its start
    bool neverFinish = false;       ///< no task succeeds or fails
    bool refuseRun = false;         ///< refuses to run prepared tasks
    /** Delay before a task is prepared, in milliseconds; other calls are served meanwhile. */
    std::int64_t prepareDelayMs = 0;
    std::int64_t renewalAnswerDelayMs = 0; ///< delay between the renewal of leases and its answer, in milliseconds
    std::int64_t usedCores = -1; ///< cores used by each running task until throttled; negative for the declared number
    std::int64_t usedMemoryMb = -1; ///< memory used by each running task; negative for the declared size
};

/** One period during which a part of a job ran. */
struct WorkerSpan {
    std::string job;
    std::uint32_t part = 0;
    std::uint64_t epoch = 0;
    TimePoint begin;
    TimePoint end;      ///< TimePoint::max() during the run
    std::string ending; ///< succeeded, failed or stopped; empty during the run
};

/** A worker that runs tasks under leases and records the period of each run. */
class WorkerStandin : public StandinServer
{
public:
    WorkerStandin(std::string id, Resources capacity);

    void setFaults(const WorkerFaults &faults);
    [[nodiscard]] WorkerFaults faults() const;
    [[nodiscard]] std::vector<WorkerSpan> spans();
    [[nodiscard]] std::uint64_t epoch() const;
    /** @return the number of commands refused because of an outdated epoch. */
    [[nodiscard]] std::uint64_t staleCommands() const;
    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }
    [[nodiscard]] const Resources &capacity() const
    {
        return m_capacity;
    }
    /** @return the longest period during which tasks used more than the worker's capacity. */
    [[nodiscard]] Duration longestOvercommit();
    /** Calls @p hook with the path of each call before the call takes effect. */
    void setCallHook(std::function<void(std::string_view)> hook);
    /** Ends and forgets every task, as a crash of the host does. */
    void loseTasks();

protected:
    Asio::awaitable<HttpResponse> serve(HttpRequest request) override;
    HttpResponse control(const HttpRequest &request) override;

private:
    struct Task {
        std::string state = "prepared";
        Resources need;
        TimePoint leaseUntil;
        TimePoint startedAt;
        std::int64_t doneMs = 0; ///< progress made before this start, in milliseconds
        std::string checkpoint;
        bool throttled = false;
        std::size_t span = 0; ///< index in m_spans
    };
    using TaskKey = std::pair<std::string, std::uint32_t>;

    void advance();
    void endTask(const TaskKey &key, Task &task, const std::string &state, TimePoint when);
    [[nodiscard]] std::int64_t progressOf(const Task &task, TimePoint now) const;
    [[nodiscard]] Json describeTasks();
    [[nodiscard]] Resources useOf(const Task &task) const;
    [[nodiscard]] Resources used() const;
    void trackOvercommit();
    HttpResponse dispatch(const HttpRequest &request);
    HttpResponse route(const HttpRequest &request, const std::string &path, const Json &body);
    HttpResponse raiseEpoch(const Json &body);
    HttpResponse prepare(const Json &body);
    HttpResponse command(const std::string &path, const Json &body);
    HttpResponse renew(const Json &body);
    HttpResponse report();
    [[nodiscard]] bool stale(const Json &body);

    const std::string m_id;
    const Resources m_capacity;
    mutable std::mutex m_mutex;
    WorkerFaults m_faults;
    std::function<void(std::string_view)> m_callHook;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_staleCommands = 0;
    std::map<TaskKey, Task> m_tasks;
    std::vector<WorkerSpan> m_spans;
    std::optional<TimePoint> m_overcommitSince;
    Duration m_longestOvercommit {0};
    std::deque<std::pair<TimePoint, Json>>
        m_reports; ///< task states by time, from which reports with a lag are answered
};

} // namespace Papaya::Standins
