#include "connection/listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>

#include <unistd.h>

// Tests that the listener continues after accept() has failed.

namespace Papaya
{

namespace
{

/** Opens file descriptors up to the limit of the process, and closes them on release. */
class DescriptorExhauster
{
public:
    DescriptorExhauster()
    {
        for (int descriptor = ::dup(STDERR_FILENO); descriptor >= 0; descriptor = ::dup(STDERR_FILENO)) {
            m_descriptors.push_back(descriptor);
        }
    }
    ~DescriptorExhauster()
    {
        release();
    }
    DescriptorExhauster(const DescriptorExhauster &) = delete;
    DescriptorExhauster &operator=(const DescriptorExhauster &) = delete;

    void release()
    {
        for (const int descriptor : m_descriptors) {
            ::close(descriptor);
        }
        m_descriptors.clear();
    }

private:
    std::vector<int> m_descriptors;
};

TEST(Listener, AcceptsAgainOnceFileDescriptorsAreFreeAfterTheyRanOut)
{
    Asio::io_context io;
    const auto listener = Listener::open(io, {"127.0.0.1", 0});
    Asio::ip::tcp::socket client(io);
    client.open(Asio::ip::tcp::v4());
    bool accepted = false;
    const auto acceptOne = [&]() -> Asio::awaitable<void> { accepted = (co_await listener->accept()).has_value(); };
    DescriptorExhauster exhauster;
    client.connect({Asio::ip::address_v4::loopback(), listener->address().port});
    Asio::co_spawn(listener->strand(), acceptOne(), Asio::detached);
    io.run_for(std::chrono::milliseconds(200));
    EXPECT_FALSE(accepted);
    exhauster.release();
    io.restart();
    io.run_for(std::chrono::seconds(2));
    EXPECT_TRUE(accepted);
}

} // namespace

} // namespace Papaya
