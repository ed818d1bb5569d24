#include "dispatch/topicfollower.h"

#include "connection/waiter.h"
#include "dispatch/boottime.h"
#include "steps/storewatch.h"

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

namespace Papaya
{

namespace
{

/** A store that answers no probe before the third one. */
class WakingStore : public RecordStore
{
public:
    [[nodiscard]] StoreLimits limits() const override
    {
        return {};
    }

    Asio::awaitable<AppendOutcome> append(Topic /*topic*/, std::vector<StoredRecord> /*records*/,
                                          std::optional<Producer> /*producer*/, std::optional<Offset> /*expectedEnd*/,
                                          TimePoint /*deadline*/) override
    {
        co_return AppendOutcome::NotStored;
    }
    Asio::awaitable<ReadResult> read(Topic /*topic*/, Offset /*from*/, Millis wait, std::size_t /*maxKb*/) override
    {
        co_await sleepFor(wait);
        co_return ReadResult {};
    }
    Asio::awaitable<NewestResult> newest(Topic /*topic*/) override
    {
        probesBeforeLoad = timeouts.size();
        co_return NewestResult {};
    }
    Asio::awaitable<void> probe(Topic /*topic*/, Millis timeout) override
    {
        timeouts.push_back(timeout);
        if (timeouts.size() < 3) {
            throw StoreError("no answer");
        }
        co_return;
    }

    std::vector<Millis> timeouts; ///< of the probes
    std::size_t probesBeforeLoad = 0;
};

/** A store whose answer to a read takes a node several turns of its event loop to receive. */
class ManyTurnsStore : public WakingStore
{
public:
    explicit ManyTurnsStore(Asio::io_context &io)
        : m_io(io)
    {
    }
    Asio::awaitable<ReadResult> read(Topic /*topic*/, Offset /*from*/, Millis /*wait*/, std::size_t /*maxKb*/) override
    {
        constexpr int TURNS = 8;
        for (int i = 0; i < TURNS; ++i) {
            co_await Asio::post(m_io, Asio::use_awaitable);
        }
        co_return ReadResult {};
    }
    Asio::awaitable<void> probe(Topic /*topic*/, Millis /*timeout*/) override
    {
        co_return;
    }

private:
    Asio::io_context &m_io;
};

/** A store that answers probes and loads, but no read. */
class SilentStore : public WakingStore
{
public:
    Asio::awaitable<ReadResult> read(Topic /*topic*/, Offset /*from*/, Millis /*wait*/, std::size_t /*maxKb*/) override
    {
        co_await sleepFor(Millis(60'000));
        co_return ReadResult {};
    }
    Asio::awaitable<void> probe(Topic /*topic*/, Millis /*timeout*/) override
    {
        co_return;
    }
};

/** Receives records and does nothing with them. */
class IgnoresRecords : public TopicHandler
{
public:
    void loaded(const std::vector<StoredRecord> & /*records*/) override
    {
    }
    void received(const std::vector<StoredRecord> & /*records*/) override
    {
    }
};

/** Stops the event loop once the topic is loaded. */
class StopsWhenLoaded : public TopicHandler
{
public:
    explicit StopsWhenLoaded(Asio::io_context &io)
        : m_io(io)
    {
    }
    void loaded(const std::vector<StoredRecord> & /*records*/) override
    {
        m_io.stop();
    }
    void received(const std::vector<StoredRecord> & /*records*/) override
    {
    }

private:
    Asio::io_context &m_io;
};

// A load that is sent while the store is silent is never answered. After an outage, nodes that had started during it
// did not serve before the time-out of that load.
TEST(TopicFollower, LoadsNothingBeforeTheStoreAnswersAProbe)
{
    Asio::io_context io;
    WakingStore store;
    StopsWhenLoaded handler(io);
    const LoopClock clock;
    TopicFollower follower(io, store, Topic::Journal, handler, Millis(100), clock);
    follower.start();
    io.run();
    EXPECT_TRUE(follower.isLoaded());
    EXPECT_EQ(3U, store.probesBeforeLoad);
    ASSERT_EQ(3U, store.timeouts.size());
    EXPECT_LT(store.timeouts[0], store.timeouts[1]) << "a slow store needs longer time-outs";
    EXPECT_LT(store.timeouts[1], store.timeouts[2]);
}

// Guards against a node that takes the delay of its own saturated event loop for silence of the store: it refused its
// callers, although the store had answered.
TEST(TopicFollower, DoesNotTakeADelayOfItsOwnEventLoopForSilenceOfTheStore)
{
    constexpr Millis TURN {150};
    constexpr int READS = 2;
    Asio::io_context io;
    ManyTurnsStore store(io);
    IgnoresRecords handler;
    LoopClock clock;
    TopicFollower follower(io, store, Topic::Journal, handler, Millis(100), clock);
    follower.start();
    Millis overdue {0};
    StoreHealth worst = StoreHealth::Answering;
    for (int i = 0; i < READS * 9; ++i) {
        clock.tick(bootMillis());
        io.poll_one();
        overdue = std::max(overdue, follower.overdue());
        worst = std::max(worst, healthOf({follower.failures(), follower.silence(), Millis(4)}));
        std::this_thread::sleep_for(TURN);
    }
    EXPECT_GT(overdue, Millis(600)) << "the event loop was not delayed enough";
    EXPECT_EQ(StoreHealth::Answering, worst);
}

// Guards against a lost store that is not noticed: the event loop runs, and no answer comes.
TEST(TopicFollower, TakesAStoreThatDoesNotAnswerForSilent)
{
    Asio::io_context io;
    SilentStore store;
    IgnoresRecords handler;
    LoopClock clock;
    TopicFollower follower(io, store, Topic::Journal, handler, Millis(100), clock);
    follower.start();
    const TimePoint end = Clock::now() + Millis(1'200);
    while (Clock::now() < end && follower.silence() <= Millis(600)) {
        clock.tick(bootMillis());
        io.run_for(Millis(LoopClock::TICK_INTERVAL_MS));
    }
    EXPECT_EQ(StoreHealth::Lost, healthOf({follower.failures(), follower.silence(), Millis(4)}));
}

} // namespace

} // namespace Papaya
