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

/** Behaviour of a worker, switchable while it runs. */
struct WorkerFaults {
    std::int64_t runMs = 200; ///< running time of a task
    std::int64_t reportLagMs = 100;
    bool failing = false; ///< every task fails soon after it starts
    bool neverFinish = false;
    bool refuseRun = false;          ///< refuses to run what it has prepared
    std::int64_t prepareDelayMs = 0; ///< before a task is taken, while other calls are served
    std::int64_t usedCores = -1;     ///< by each running task, whatever it declared, until it is throttled
    std::int64_t usedMemoryMb = -1;  ///< by each running task, whatever it declared
};

/** A stretch of time during which a part ran. */
struct WorkerSpan {
    std::string job;
    std::uint32_t part = 0;
    std::uint64_t epoch = 0;
    TimePoint begin;
    TimePoint end;      ///< max() while it runs
    std::string ending; ///< how it ended
};

/** A worker that runs tasks under leases and records when each ran. */
class WorkerStandin : public StandinServer
{
public:
    WorkerStandin(std::string id, Resources capacity);

    void setFaults(const WorkerFaults &faults);
    [[nodiscard]] WorkerFaults faults() const;
    [[nodiscard]] std::vector<WorkerSpan> spans();
    [[nodiscard]] std::uint64_t epoch() const;
    /** @return commands that were refused because of an older epoch. */
    [[nodiscard]] std::uint64_t staleCommands() const;
    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }
    [[nodiscard]] const Resources &capacity() const
    {
        return m_capacity;
    }
    /** @return the longest time during which running tasks used more than the worker has. */
    [[nodiscard]] Duration longestOvercommit();
    /** Calls @p hook with the path of each call before it takes effect. */
    void setCallHook(std::function<void(std::string_view)> hook);
    /** Ends every task, as the host's death does. */
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
        std::int64_t doneMs = 0; ///< progress before this start
        std::string checkpoint;
        bool throttled = false;
        std::size_t span = 0;
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
    std::deque<std::pair<TimePoint, Json>> m_reports; ///< states by time, for the lag
};

} // namespace Papaya::Standins
