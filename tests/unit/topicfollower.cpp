#include "dispatch/topicfollower.h"

#include "connection/waiter.h"

#include <gtest/gtest.h>

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
    TopicFollower follower(io, store, Topic::Journal, handler, Millis(100));
    follower.start();
    io.run();
    EXPECT_TRUE(follower.isLoaded());
    EXPECT_EQ(3U, store.probesBeforeLoad);
    ASSERT_EQ(3U, store.timeouts.size());
    EXPECT_LT(store.timeouts[0], store.timeouts[1]) << "a slow store needs longer time-outs";
    EXPECT_LT(store.timeouts[1], store.timeouts[2]);
}

} // namespace

} // namespace Papaya
