#include "process/sizebook.h"

#include <gtest/gtest.h>

// Tests how sizes are estimated from reported use.

namespace Papaya
{

namespace
{

JobSubmitted submission(const char *job)
{
    JobSubmitted spec;
    spec.job = JobId(job);
    spec.team = TeamName("bergen");
    spec.templateName = TemplateName("route-plan");
    spec.shape = {1, {20, 10'000, 2}, Adjacency::Any};
    return spec;
}

TEST(SizeEstimator, ExpectsTheDeclaredSizeBeforeTheFirstReport)
{
    EXPECT_EQ((Resources {20, 10'000, 2}), SizeEstimator().expected(submission("j-1")));
}

TEST(SizeEstimator, AddsAMarginToThePeakUse)
{
    SizeEstimator estimator;
    estimator.recordUsage(JobId("j-1"), {4, 40'000, 2}, false);
    estimator.recordUsage(JobId("j-1"), {2, 30'000, 2}, false);
    EXPECT_EQ((Resources {5, 50'000, 2}), estimator.expected(submission("j-1")));
}

TEST(SizeEstimator, CapsTheMarginAtTheDeclaredSizeWhileUseStaysWithinIt)
{
    SizeEstimator estimator;
    estimator.recordUsage(JobId("j-1"), {19, 10'000, 2}, false);
    EXPECT_EQ((Resources {20, 10'000, 2}), estimator.expected(submission("j-1")));
}

TEST(SizeEstimator, DiscardsCoreUseFromBeforeThrottling)
{
    SizeEstimator estimator;
    estimator.recordUsage(JobId("j-1"), {40, 8'000, 2}, false);
    estimator.recordUsage(JobId("j-1"), {20, 8'000, 2}, true);
    EXPECT_EQ((Resources {20, 10'000, 2}), estimator.expected(submission("j-1")));
}

TEST(SizeEstimator, ExpectsThePeakUseOfEndedJobsOfTheSameTemplate)
{
    Ledger ledger;
    const RecordOrigin origin {InstanceId("entry-1"), Incarnation(1), 1'000};
    ledger.apply(submission("j-1"), origin);
    SizeEstimator estimator;
    estimator.recordUsage(JobId("j-1"), {4, 4'000, 2}, false);
    ledger.apply(CancelRequested {JobId("j-1")}, origin);
    ASSERT_TRUE(isFinal(ledger.job(JobId("j-1"))->state));
    estimator.learn(ledger);
    EXPECT_EQ((Resources {5, 5'000, 2}), estimator.expected(submission("j-2")));
}

} // namespace

} // namespace Papaya
