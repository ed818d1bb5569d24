#include "promises.h"

#include <algorithm>
#include <set>

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

/** @return the unit of @p task, which is its step if that is a gang: one end stands for all members. */
std::string unitOf(const std::string &task, const JobShape &shape)
{
    const std::string step = task.substr(0, task.rfind('.'));
    return shape.steps.at(std::stoul(step.substr(step.rfind('.') + 1))).gang ? step : task;
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
    if (job.accepted && !job.ended) {
        broken.push_back("LOST: " + id + " last shown as \"" + job.lastState + "\"");
    }
    if (job.completedMs == 0) {
        return;
    }
    std::set<std::string> done; // units that were done when the job was shown as completed
    for (const TaskRun &run : runs) {
        if (run.how == "done" && run.endedMs <= job.completedMs) {
            done.insert(unitOf(run.task, job.shape));
        }
        if (run.startedMs > job.completedMs + NOTE_MS) {
            broken.push_back("TWICE, after its job was shown as completed at " + std::to_string(job.completedMs) + ": "
                             + describe(run));
        }
    }
    if (done.size() < job.shape.units()) {
        broken.push_back("MIXED: " + id + " was shown as completed with " + std::to_string(done.size()) + " of "
                         + std::to_string(job.shape.units()) + " units done");
    }
}

} // namespace

bool JobSeen::mayEndAs(const std::string &state) const
{
    const bool asSubmitted = state == (shape.fate == JobFate::Fails ? "failed" : "completed") && !shape.lasts();
    return asSubmitted || (cancelSentMs != 0 && state == "cancelled");
}

void CallersView::add(const std::string &id, const JobShape &shape)
{
    const std::lock_guard lock(m_mutex);
    m_jobs[id].shape = shape;
}

void CallersView::submitted(const std::string &id, int status)
{
    const std::lock_guard lock(m_mutex);
    JobSeen &job = m_jobs[id];
    if (status == 200 && !job.accepted) {
        job.accepted = true;
        job.acceptedMs = Standins::nowMs();
    }
    job.refused = job.refused && (status == 503 || status == 429);
}

void CallersView::cancelling(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    JobSeen &job = m_jobs[id];
    job.cancelSentMs = job.cancelSentMs == 0 ? Standins::nowMs() : job.cancelSentMs;
}

void CallersView::shown(const std::string &id, const std::string &state, bool settled)
{
    const std::lock_guard lock(m_mutex);
    JobSeen &job = m_jobs[id];
    job.lastState = state;
    if (state == "completed") {
        job.completedMs = job.completedMs == 0 ? Standins::nowMs() : job.completedMs;
    }
    job.ended = job.ended || (settled && job.mayEndAs(state));
}

std::map<std::string, JobSeen> CallersView::jobs() const
{
    const std::lock_guard lock(m_mutex);
    return m_jobs;
}

JobShape CallersView::shape(const std::string &id) const
{
    const std::lock_guard lock(m_mutex);
    return m_jobs.at(id).shape;
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
