#include "gangchecks.h"

#include <gtest/gtest.h>

namespace Papaya::Testing
{

void setTaskRunTime(Cluster &cluster, std::int64_t runMs, bool neverFinish)
{
    cluster.setWorkerFaults({.runMs = runMs, .neverFinish = neverFinish});
}

std::vector<Standins::WorkerSpan> spansOf(const Cluster &cluster, const std::string &job)
{
    std::vector<Standins::WorkerSpan> spans;
    for (const auto &worker : cluster.workers) {
        for (const Standins::WorkerSpan &span : worker->spans()) {
            if (span.job == job) {
                spans.push_back(span);
            }
        }
    }
    return spans;
}

Duration longestPartialRun(const Cluster &cluster, const std::string &job, std::size_t parts)
{
    std::vector<std::pair<TimePoint, int>> changes;
    for (const Standins::WorkerSpan &span : spansOf(cluster, job)) {
        changes.emplace_back(span.begin, 1);
        changes.emplace_back(std::min(span.end, Clock::now()), -1);
    }
    std::sort(changes.begin(), changes.end());
    Duration longest {0};
    int running = 0;
    TimePoint since;
    for (const auto &[when, change] : changes) {
        const bool wasPartial = running > 0 && running < static_cast<int>(parts);
        if (wasPartial) {
            longest = std::max(longest, when - since);
        }
        running += change;
        since = when;
    }
    return longest;
}

Duration shortestRun(const Cluster &cluster, const std::string &job)
{
    Duration shortest = Duration::max();
    for (const Standins::WorkerSpan &span : spansOf(cluster, job)) {
        shortest = std::min(shortest, std::min(span.end, Clock::now()) - span.begin);
    }
    return shortest;
}

bool anyPartRanTwiceAtOnce(const Cluster &cluster, const std::string &job)
{
    const std::vector<Standins::WorkerSpan> spans = spansOf(cluster, job);
    for (std::size_t i = 0; i < spans.size(); ++i) {
        for (std::size_t j = i + 1; j < spans.size(); ++j) {
            if (spans[i].part == spans[j].part && spans[i].begin < spans[j].end && spans[j].begin < spans[i].end) {
                return true;
            }
        }
    }
    return false;
}

std::size_t runningParts(const Cluster &cluster, const std::string &job)
{
    std::size_t count = 0;
    for (const Standins::WorkerSpan &span : spansOf(cluster, job)) {
        count += span.end == TimePoint::max() ? 1U : 0U;
    }
    return count;
}

std::string submit(Cluster &cluster, std::size_t instance, const std::string &templateName, const std::string &key)
{
    const Json parameters = templateName == "route-plan" ? Json {{"depot", "bergen"}} : Json::object();
    const Answer answer = cluster.submitJob(instance, templateName, parameters, key);
    EXPECT_EQ(202, answer.status) << answer.body;
    return answer.status == 202 ? answer.json().value("job", "") : "";
}

std::string startGang(Cluster &cluster, std::size_t instance, const std::string &templateName)
{
    constexpr std::size_t PARTS = 2;
    const std::string job = submit(cluster, instance, templateName);
    const bool started = Cluster::eventually([&] { return runningParts(cluster, job) == PARTS; });
    EXPECT_TRUE(started) << "not all parts of the gang run after 10 s";
    return started ? job : "";
}

std::string jobState(Cluster &cluster, std::size_t instance, const std::string &job)
{
    const Json status = cluster.jobStatus(instance, job);
    return status.is_object() ? status.value("state", "") : "";
}

bool ledgersAgree(Cluster &cluster)
{
    std::set<std::string> digests;
    for (std::size_t i = 0; i < cluster.instances.size(); ++i) {
        if (cluster.instances[i]->running()) {
            digests.insert(cluster.adminStatus(i)["ledger"].value("digest", ""));
        }
    }
    return digests.size() == 1;
}

} // namespace Papaya::Testing
