#include "slownode.h"

#include "dispatch/stepnode.h"
#include "platformcodec.h"
#include "platformminions.h"
#include "platformstore.h"
#include "process/logging.h"

#include <stdexcept>
#include <thread>

namespace Papaya::Testing
{

namespace
{

/** Passes calls on to another MinionControl, and keeps the calling thread busy before each. */
class SlowMinionControl : public MinionControl
{
public:
    SlowMinionControl(std::unique_ptr<MinionControl> next, Duration callTime)
        : m_next(std::move(next))
        , m_callTime(callTime)
    {
    }

    Asio::awaitable<OrderAnswer> start(const MinionEntry &minion, StartOrder order, Millis timeout) override
    {
        keepBusy();
        co_return co_await m_next->start(minion, std::move(order), timeout);
    }
    Asio::awaitable<OrderAnswer> stop(const MinionEntry &minion, std::string task, std::uint32_t run, Epoch fence,
                                      Millis timeout) override
    {
        keepBusy();
        co_return co_await m_next->stop(minion, std::move(task), run, fence, timeout);
    }
    Asio::awaitable<OrderAnswer> pace(const MinionEntry &minion, PaceOrder order, Millis timeout) override
    {
        keepBusy();
        co_return co_await m_next->pace(minion, std::move(order), timeout);
    }
    Asio::awaitable<PollAnswer> poll(const MinionEntry &minion, PollOrder order, Millis timeout) override
    {
        keepBusy();
        co_return co_await m_next->poll(minion, order, timeout);
    }

private:
    void keepBusy() const
    {
        const TimePoint until = Clock::now() + m_callTime;
        while (Clock::now() < until) {}
    }

    std::unique_ptr<MinionControl> m_next;
    Duration m_callTime;
};

NodeSettings readSettings(const std::string &path)
{
    auto settings = NodeSettings::fromFile(path);
    if (!settings) {
        throw std::runtime_error(path + ": " + settings.errors().front().message);
    }
    return *settings;
}

} // namespace

struct SlowNode::Parts {
    Parts(const std::string &settingsPath, Duration callTime)
        : io(1)
        , pool(io)
    {
        startLogging(LogLevel::Error, InstanceId("slow-node"));
        const NodeSettings settings = readSettings(settingsPath);
        Platform platform {makePlatformStore(pool, settings.store),
                           std::make_unique<SlowMinionControl>(makePlatformMinions(pool), callTime),
                           makePlatformCodec(), nullptr, nullptr};
        node = StepNode::start(io, settings, settingsPath, std::move(platform));
        thread = std::thread([this] { io.run(); });
    }

    Asio::io_context io;
    HttpPool pool;
    std::unique_ptr<StepNode> node;
    std::thread thread;
};

SlowNode::SlowNode(const std::string &settingsPath, Duration callTime)
    : m_parts(std::make_unique<Parts>(settingsPath, callTime))
{
}

SlowNode::~SlowNode()
{
    m_parts->io.stop();
    m_parts->thread.join();
}

} // namespace Papaya::Testing
