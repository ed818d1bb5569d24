#include "interference/interference.h"
#include "steps/fillpace.h"
#include "steps/stepscheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <set>
#include <string>

// Tests what is learned of images that slow each other down, by replays of reports, and the decisions that rest on it.

namespace Papaya
{

namespace
{

constexpr std::int64_t REPORT_INTERVAL_MS = 500;
constexpr std::int64_t BEGIN_MS = 100'000;
constexpr double TARGET_MS = 100;
const std::vector<std::string> FILLS {"loud", "calm", "idle"};

/** Minions with a service and tasks of some of the filling images, of which only "loud" disturbs the service. */
class Replay
{
public:
    explicit Replay(unsigned seed, double risePerCore = 15)
        : m_random(seed)
        , m_risePerCore(risePerCore)
    {
    }

    /** Reports from @p minions for @p durationMs; the filling tasks on them change now and then. */
    void run(int minions, std::int64_t durationMs)
    {
        std::vector<std::set<std::string>> placed(static_cast<std::size_t>(minions));
        for (const std::int64_t endMs = nowMs + durationMs; nowMs < endMs; nowMs += REPORT_INTERVAL_MS) {
            for (auto &images : placed) {
                for (const std::string &image : FILLS) {
                    if (uniform(0, 1) < 0.1) {
                        images.contains(image) ? images.erase(image) : images.insert(image).second;
                    }
                }
                std::map<std::string, double> cores;
                for (const std::string &image : images) {
                    cores[image] = uniform(2, 8);
                }
                interference.observe(report(cores), nowMs);
            }
            for (const InterferingPair &pair : interference.refit(nowMs)) {
                found.insert(pair.disturbed + "<" + pair.other);
            }
        }
    }

    /** @return a report of a minion with a service and filling tasks that use @p cores, with 10 percent of noise. */
    std::vector<ObservedTask> report(const std::map<std::string, double> &cores)
    {
        std::vector<ObservedTask> tasks;
        double tailMs = 50 * uniform(0.9, 1.1);
        for (const auto &[image, used] : cores) {
            tailMs += image == "loud" ? m_risePerCore * used : 0;
            tasks.push_back({"", image, false, true, 0, used, 0});
        }
        tasks.push_back({"", "web", true, false, tailMs / TARGET_MS, 0, 100});
        return tasks;
    }

    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(m_random);
    }

    Interference interference;
    std::set<std::string> found; ///< pairs that became known
    std::int64_t nowMs = BEGIN_MS;

private:
    std::mt19937 m_random;
    double m_risePerCore;
};

// Images that run beside the one that disturbs must not be taken for it.
TEST(Interference, IsFoundForTheOneOfThreeFillingImagesThatDisturbsAService)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        Replay replay(seed);
        replay.run(4, 15'000);
        EXPECT_EQ(std::set<std::string> {"web<loud"}, replay.found) << seed;
        ASSERT_EQ(1U, replay.interference.pairs().size()) << seed;
        EXPECT_NEAR(0.75, replay.interference.pairs()[0].effect.perTask, 0.25) << seed;
    }
}

// Noise that is taken for interference would scatter work over the fleet.
TEST(Interference, IsNotFoundInNoiseNorWithLittleEvidenceNorAfterItHasDecayed)
{
    std::size_t mistaken = 0;
    for (unsigned seed = 1; seed <= 50; ++seed) {
        Replay noise(seed, 0);
        noise.run(4, 30'000);
        mistaken += noise.found.size();
    }
    EXPECT_EQ(0U, mistaken);
    Replay replay(1);
    replay.run(1, 3'000);
    EXPECT_TRUE(replay.found.empty());
    replay.run(4, 20'000);
    EXPECT_FALSE(replay.interference.pairs().empty());
    replay.interference.refit(replay.nowMs + 10 * ImageInterference::HALF_LIFE_MS);
    EXPECT_TRUE(replay.interference.pairs().empty());
}

// Images that have only run together cannot be told apart, so that neither may be blamed.
TEST(Interference, IsNotFoundForImagesThatAlwaysRunTogetherNorWithoutImages)
{
    Replay replay(1);
    Interference nameless;
    for (int i = 0; i < 200; ++i, replay.nowMs += REPORT_INTERVAL_MS) {
        const double cores = i % 20 < 10 ? 0 : replay.uniform(2, 8);
        std::vector<ObservedTask> tasks = replay.report({{"loud", cores}, {"calm", cores}});
        replay.interference.observe(tasks, replay.nowMs);
        for (ObservedTask &task : tasks) {
            task.image.clear();
        }
        nameless.observe(tasks, replay.nowMs);
        replay.interference.refit(replay.nowMs);
        nameless.refit(replay.nowMs);
        ASSERT_TRUE(replay.interference.pairs().empty());
        ASSERT_TRUE(nameless.pairs().empty());
    }
}

// A task that makes less progress beside an image is disturbed by it, whatever its run time was estimated at.
TEST(Interference, IsFoundInTheProgressOfRunsThatTheirNeighboursSlowDown)
{
    Replay random(1);
    Interference interference;
    for (int run = 0; run < 60; ++run) {
        const double speed = random.uniform(5, 12); // percent in each report
        double percent = 0;
        std::int64_t nowMs = BEGIN_MS + run * 1'000;
        for (int i = 0; percent < 100; ++i, nowMs += REPORT_INTERVAL_MS) {
            const bool beside = (i + run) % 8 < 4;
            interference.observe({{"j.0.0." + std::to_string(run), "train", false, false, 0, 4, std::int64_t(percent)},
                                  {"", "loud", false, true, 0, beside ? 4.0 : 0.0, 0},
                                  {"", "calm", false, true, 0, i % 6 < 3 ? 4.0 : 0.0, 0}},
                                 nowMs);
            percent += speed * (beside ? 0.6 : 1);
        }
        interference.refit(nowMs);
    }
    ASSERT_EQ(1U, interference.pairs().size());
    EXPECT_EQ("train", interference.pairs()[0].disturbed);
    EXPECT_EQ("loud", interference.pairs()[0].other);
}

/** One minion whose service is disturbed by "loud", with a controller that goes by what @p known has learned. */
struct PacedMinion {
    /** @return how long the tail latency exceeds its target, in ms. */
    std::int64_t run(FillPace &pace, std::int64_t durationMs, const Interference &known, std::int64_t knownMs) const
    {
        std::int64_t lastMs = 0;
        for (std::int64_t at = 0; at < durationMs; at += REPORT_INTERVAL_MS) {
            ImageInterference::Loads cores;
            for (const std::string &image : FILLS) {
                cores[image] = 6.0 * pace.percent(image) / 100;
            }
            const auto tailMs = std::int64_t(baseMs + risePerCore * cores.at(disturbing));
            lastMs = tailMs > std::int64_t(TARGET_MS) ? at : lastMs;
            pace.observe({{tailMs, std::int64_t(TARGET_MS), known.causes("web", cores, knownMs)}}, BEGIN_MS + at,
                         {FILLS.begin(), FILLS.end()});
        }
        return lastMs;
    }

    double baseMs = 50;
    double risePerCore = 15;
    std::string disturbing = "loud";
};

// One share for all throttles the two images that do no harm as much as the third.
TEST(FillPace, ThrottlesOnlyTheImageThatDisturbsAndNoMoreSlowlyThanAll)
{
    Replay replay(1);
    replay.run(4, 20'000);
    for (const double risePerCore : {10.0, 15.0, 20.0}) {
        const PacedMinion minion {50, risePerCore};
        FillPace common;
        FillPace byImage;
        const std::int64_t commonMs = minion.run(common, 6'000, Interference(), replay.nowMs);
        EXPECT_LE(minion.run(byImage, 6'000, replay.interference, replay.nowMs), commonMs) << risePerCore;
        EXPECT_LT(common.percent("calm"), FillPace::FULL);
        EXPECT_EQ(common.percent("loud"), byImage.percent("loud")) << risePerCore;
        EXPECT_EQ(FillPace::FULL, byImage.percent("calm")) << risePerCore;
        EXPECT_EQ(FillPace::FULL, byImage.percent("idle")) << risePerCore;
    }
}

// What was learned may be wrong: another image, or something else, disturbs the service.
TEST(FillPace, ThrottlesAllOneReportLaterAtMostIfTheKnownImageIsNotTheCause)
{
    Replay replay(1);
    replay.run(4, 20'000);
    for (const double risePerCore : {9.0, 15.0, 40.0, 1'000.0}) {
        const PacedMinion minion {50, risePerCore, "calm"};
        FillPace common;
        FillPace byImage;
        const std::int64_t commonMs = minion.run(common, 6'000, Interference(), replay.nowMs);
        EXPECT_LE(minion.run(byImage, 6'000, replay.interference, replay.nowMs), commonMs + REPORT_INTERVAL_MS)
            << risePerCore;
    }
}

// Images that were throttled before the cause was known must get their shares back.
TEST(FillPace, RaisesImagesThatDoNoHarmFirst)
{
    Replay replay(1);
    replay.run(4, 20'000);
    const PacedMinion minion {50, 12};
    FillPace pace;
    minion.run(pace, 3'000, Interference(), replay.nowMs);
    ASSERT_LE(pace.percent("calm"), 50);
    minion.run(pace, 60'000, replay.interference, replay.nowMs);
    EXPECT_EQ(FillPace::FULL, pace.percent("calm"));
    EXPECT_LT(pace.percent("loud"), FillPace::FULL);
}

// Deployments with one filling image, or without images, are served as before.
RC_GTEST_PROP(FillPace, OfOneImageOrOfNoneIsThatOfTheCommonShare, ())
{
    FillPace common;
    FillPace byImage;
    const std::string image = *rc::gen::element<std::string>("", "loud");
    std::int64_t nowMs = BEGIN_MS;
    for (int i = 0; i < 100; ++i, nowMs += *rc::gen::inRange(1, 1'000)) {
        const std::int64_t tailMs = *rc::gen::element(20, 60, 74, 80, 96, 130, 400);
        std::map<std::string, double> causes;
        if (!image.empty() && *rc::gen::arbitrary<bool>()) {
            causes[image] = *rc::gen::inRange(0, 300) / 100.0;
        }
        common.observe({{tailMs, 100, {}}}, nowMs);
        byImage.observe({{tailMs, 100, causes}}, nowMs, {image});
        RC_ASSERT(byImage.percent(image) == common.percent());
    }
}

/** Two empty minions of which the first runs the service, and a job of one step. */
PlanDecisions planBeside(const KeepApart &preference, const std::string &image, bool roomOnSecond)
{
    QueueConfig queue;
    queue.name = QueueName("batch");
    queue.service = ServiceName("desk");
    DeploymentConfig config;
    config.queues = {queue};
    std::vector<MinionView> minions(2);
    for (std::size_t i = 0; i < minions.size(); ++i) {
        minions[i].id = MinionId("m" + std::to_string(i));
        minions[i].service = queue.service;
        minions[i].capacity = minions[i].free = {4'000, 4'000, 8};
    }
    minions[0].free.gpus = 4; // the better fit
    minions[1].free.gpus = roomOnSecond ? 8 : 0;
    StepJob job;
    job.id = JobId("job");
    job.queue = queue.name;
    job.service = queue.service;
    StepSpec step;
    step.need = {1'000, 1'000, 1};
    step.image = image;
    job.spec.steps = {step};
    JobTable jobTable;
    jobTable.apply(StepJobSubmitted {job});
    const RunTimes times;
    const TicketBook tickets;
    PlanInput input {jobTable, config, times, tickets, minions, {}, {}, {}, BEGIN_MS, BEGIN_MS};
    input.preferences = {&preference};
    return planSteps(std::move(input));
}

// Interference must keep tasks apart where there is room, and make none wait.
TEST(KeepApart, PrefersMinionsWithoutInterferingImagesAndMakesNoTaskWait)
{
    Replay replay(1);
    replay.run(4, 20'000);
    replay.interference.updatePreference({{MinionId("m0"), {"web", "calm"}}});
    const KeepApart &preference = replay.interference.preference();
    const auto chosen = [&](const std::string &image, bool roomOnSecond) {
        const PlanDecisions decisions = planBeside(preference, image, roomOnSecond);
        return decisions.starts.size() == 1 ? decisions.starts[0].minions.at(0) : SIZE_MAX;
    };
    EXPECT_EQ(1U, chosen("loud", true));
    EXPECT_EQ(0U, chosen("loud", false));
    EXPECT_EQ(0U, chosen("calm", true));
    EXPECT_EQ(0U, chosen("", true));
    replay.interference.updatePreference({{MinionId("m0"), {"loud"}}});
    EXPECT_EQ(1U, chosen("web", true));
}

// Costs that differ by noise would outweigh the best fit by GPUs.
TEST(KeepApart, HasEqualCostsForEffectsThatDifferByNoise)
{
    KeepApart preference;
    const auto pair = [](const char *other, double effect) {
        return InterferingPair {"web", other, {0, effect, 0, 20, 0, 0, true}};
    };
    preference.update({pair("a", 0.61), pair("b", 0.66)}, {{MinionId("m0"), {"a"}}, {MinionId("m1"), {"b"}}});
    StepSpec step;
    step.image = "web";
    MinionView first;
    first.id = MinionId("m0");
    MinionView second;
    second.id = MinionId("m1");
    EXPECT_GT(preference.cost({}, step, first), 0);
    EXPECT_EQ(preference.cost({}, step, first), preference.cost({}, step, second));
}

} // namespace

} // namespace Papaya
