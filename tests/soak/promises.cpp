#include "promises.h"

#include <algorithm>

namespace Papaya::Testing
{

namespace
{

using Standins::TaskRun;

constexpr std::int64_t NOTE_MS = 1'000; // after which no task of a job that was shown as completed may start

std::string describe(const TaskRun &run)
{
    return run.task + " run " + std::to_string(run.run) + " on " + run.minion + " " + std::to_string(run.startedMs)
           + " to " + std::to_string(run.endedMs) + " " + run.how + " noted " + std::to_string(run.notedMs);
}

/** Checks the runs of one task, in the order of their starts. */
void checkTask(const std::vector<TaskRun> &runs, std::vector<std::string> &broken)
{
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (std::size_t j = i + 1; j < runs.size(); ++j) {
            const bool overlaps = runs[i].endedMs == 0 || runs[j].startedMs < runs[i].endedMs;
            const bool afterEnd = runs[i].how == "done" && runs[i].notedMs != 0;
            if (overlaps || afterEnd) {
                broken.push_back(std::string(overlaps ? "TWICE, at once: " : "TWICE, after its end was noted: ")
                                 + describe(runs[i]) + "; " + describe(runs[j]));
            }
        }
    }
}

void checkJob(const std::string &id, const JobSeen &job, const std::vector<TaskRun> &runs,
              std::vector<std::string> &broken)
{
    if (job.refused && !runs.empty()) {
        broken.push_back("REFUSED, but started: " + describe(runs.front()));
    }
    if (job.accepted && !job.completed) {
        broken.push_back("LOST: " + id + " last shown as \"" + job.lastState + "\"");
    }
    if (job.completedMs == 0) {
        return;
    }
    std::map<std::string, bool> done; // by task, whether it was done when the job was shown as completed
    for (const TaskRun &run : runs) {
        done[run.task] = done[run.task] || (run.how == "done" && run.endedMs <= job.completedMs);
        if (run.startedMs > job.completedMs + NOTE_MS) {
            broken.push_back("TWICE, after its job was shown as completed at " + std::to_string(job.completedMs) + ": "
                             + describe(run));
        }
    }
    const auto ended = std::count_if(done.begin(), done.end(), [](const auto &item) { return item.second; });
    if (static_cast<std::uint32_t>(ended) < job.tasks) {
        broken.push_back("MIXED: " + id + " was shown as completed with " + std::to_string(ended) + " of "
                         + std::to_string(job.tasks) + " tasks done");
    }
}

} // namespace

void CallersView::add(const std::string &id, std::uint32_t tasks)
{
    const std::lock_guard lock(m_mutex);
    m_jobs[id].tasks = tasks;
}

void CallersView::submitted(const std::string &id, int status)
{
    const std::lock_guard lock(m_mutex);
    JobSeen &job = m_jobs[id];
    job.accepted = job.accepted || status == 200;
    job.refused = job.refused && (status == 503 || status == 429);
}

void CallersView::shown(const std::string &id, const std::string &state, bool settled)
{
    const std::lock_guard lock(m_mutex);
    JobSeen &job = m_jobs[id];
    job.lastState = state;
    if (state == "completed") {
        job.completedMs = job.completedMs == 0 ? Standins::nowMs() : job.completedMs;
        job.completed = job.completed || settled;
    }
}

std::map<std::string, JobSeen> CallersView::jobs() const
{
    const std::lock_guard lock(m_mutex);
    return m_jobs;
}

std::vector<std::string> brokenPromises(const std::vector<TaskRun> &runs, const std::map<std::string, JobSeen> &jobs)
{
    std::map<std::string, std::vector<TaskRun>> byTask;
    std::map<std::string, std::vector<TaskRun>> byJob;
    for (const TaskRun &run : runs) {
        byTask[run.task].push_back(run);
        byJob[run.task.substr(0, run.task.find('.'))].push_back(run);
    }
    std::vector<std::string> broken;
    for (auto &[task, of] : byTask) {
        std::stable_sort(of.begin(), of.end(),
                         [](const TaskRun &a, const TaskRun &b) { return a.startedMs < b.startedMs; });
        checkTask(of, broken);
    }
    for (const auto &[id, job] : jobs) {
        checkJob(id, job, byJob[id], broken);
    }
    return broken;
}

} // namespace Papaya::Testing
