#include "steps/candidacy.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

// Tests when a node claims the planner's role and how it backs off after failed claims.

namespace Papaya
{

namespace
{

TEST(Candidacy, KeepsClaimTimeoutsOfEqualNodesCloseAndShortAfterAResignation)
{
    Candidacy candidacy;
    candidacy.milliCores = candidacy.strongestMilliCores = 250;
    const std::int64_t shortestMs = claimTimeoutMs(candidacy);
    candidacy.jitter = 999;
    EXPECT_LE(claimTimeoutMs(candidacy), shortestMs + 300);
    candidacy.resigned = true;
    EXPECT_LE(claimTimeoutMs(candidacy), 120);
}

TEST(Candidacy, GivesAStrongNodeAShorterClaimTimeoutThanAWeakNode)
{
    for (const bool first : {true, false}) {
        Candidacy strong {first, false, 0, 500, first ? 0U : 500U, 999};
        Candidacy weak {first, false, 0, 120, first ? 0U : 500U, 0};
        EXPECT_LT(claimTimeoutMs(strong), claimTimeoutMs(weak));
    }
}

TEST(Candidacy, LengthensTheClaimTimeoutWhenJournalReadsAreDelayed)
{
    EXPECT_GE(claimTimeoutMs({false, false, 400, 250, 250, 0}), 2'500);
}

/**
 * Simulates candidates whose claims all fail.
 * @param claimDurationMs time until a claim is answered
 * @param durationMs length of the simulation
 * @return the number of claims sent by all nodes
 */
std::size_t claimsWhileAllFail(std::size_t nodes, std::int64_t claimDurationMs, std::int64_t durationMs)
{
    constexpr std::int64_t STEP_MS = 100;
    std::mt19937 random(7);
    std::vector<ClaimBackoff> backoffs(nodes);
    std::vector<std::int64_t> answeredMs(nodes, 0);
    std::size_t claims = 0;
    for (std::int64_t now = 0; now < durationMs; now += STEP_MS) {
        for (std::size_t i = 0; i < nodes; ++i) {
            if (now >= answeredMs[i] && backoffs[i].mayClaim(now)) {
                ++claims;
                answeredMs[i] = now + claimDurationMs;
                backoffs[i].failed(answeredMs[i], random() % 1'000);
            }
        }
    }
    return claims;
}

TEST(ClaimBackoff, LimitsTheClaimsOfManyNodesWhileAllClaimsFail)
{
    // Without back-off, each of the 44 candidates would claim about 10 times in 5 s.
    EXPECT_LT(claimsWhileAllFail(44, 400, 5'000), 44U * 6);
    EXPECT_GE(claimsWhileAllFail(1, 50, 5'000), 5U);
}

TEST(ClaimBackoff, RestartsAtTheShortestDelayAfterASuccessfulClaim)
{
    ClaimBackoff backoff;
    for (int i = 0; i < 8; ++i) {
        backoff.failed(0, 999);
    }
    EXPECT_FALSE(backoff.mayClaim(1'000));
    EXPECT_TRUE(backoff.mayClaim(1'300));
    backoff.succeeded();
    backoff.failed(5'000, 999);
    EXPECT_TRUE(backoff.mayClaim(5'150));
}

} // namespace

} // namespace Papaya
