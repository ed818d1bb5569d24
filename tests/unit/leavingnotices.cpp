#include "process/leavingnotices.h"

#include <gtest/gtest.h>

#include <vector>

namespace Papaya::Testing
{

namespace
{

constexpr Millis TURN_INTERVAL {50};

/** Lets the instances hear of each other's notices, one after the other, from @p now until @p end. */
TimePoint gossip(std::vector<LeavingNotices> &instances, TimePoint now, TimePoint end)
{
    for (std::size_t turn = 0; now < end; ++turn, now += TURN_INTERVAL) {
        for (LeavingNotices &teller : instances) {
            teller.expire(now);
            for (const MinionId &minion : teller.minions()) {
                instances[turn % instances.size()].add(minion, NoticeSource::Peer, now);
            }
        }
    }
    return now;
}

// Guards against instances that renew each other's copies of a notice, so that a minion that stays gets no work again.
TEST(LeavingNotices, EndAlthoughInstancesTellEachOtherOfThem)
{
    std::vector<LeavingNotices> instances(3);
    const MinionId minion("minion-1");
    TimePoint now = Clock::now();
    ASSERT_TRUE(instances[0].add(minion, NoticeSource::Minion, now));
    now = gossip(instances, now, now + LeavingNotices::VALIDITY / 2);
    for (const LeavingNotices &instance : instances) {
        EXPECT_TRUE(instance.active().contains(minion));
    }
    now = gossip(instances, now, now + 2 * LeavingNotices::VALIDITY);
    for (const LeavingNotices &instance : instances) {
        EXPECT_FALSE(instance.active().contains(minion));
    }
}

TEST(LeavingNotices, AreTakenAgainFromTheMinionItself)
{
    LeavingNotices notices;
    const MinionId minion("minion-1");
    const TimePoint start = Clock::now();
    ASSERT_TRUE(notices.add(minion, NoticeSource::Peer, start));
    EXPECT_FALSE(notices.add(minion, NoticeSource::Minion, start + Millis(1)));
    const TimePoint ended = start + LeavingNotices::VALIDITY;
    EXPECT_FALSE(notices.add(minion, NoticeSource::Peer, ended));
    EXPECT_TRUE(notices.add(minion, NoticeSource::Minion, ended));
    const TimePoint echoesEnded = ended + LeavingNotices::VALIDITY + LeavingNotices::ECHO_TIME;
    EXPECT_TRUE(notices.add(minion, NoticeSource::Peer, echoesEnded));
}

} // namespace

} // namespace Papaya::Testing
