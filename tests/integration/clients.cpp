#include "cluster.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <sys/socket.h>

#include <thread>

// Tests that clients that send slowly, hold connections or read no answers do not affect other callers.

namespace Papaya::Testing
{

namespace
{

using Tcp = Asio::ip::tcp;

constexpr int CALLS = 40; // of an ordinary caller while the others misbehave

/** Raw connections of a misbehaving client. */
class RawClient
{
public:
    RawClient(const Endpoint &server, std::size_t connections)
    {
        for (std::size_t i = 0; i < connections; ++i) {
            m_sockets.emplace_back(m_io);
            m_sockets.back().connect({Asio::ip::make_address(server.ip), server.port});
        }
    }

    /** Sends @p text on every connection that is still open. */
    void send(const std::string &text)
    {
        for (Tcp::socket &socket : m_sockets) {
            boost::system::error_code error;
            Asio::write(socket, Asio::buffer(text), error);
        }
    }

    /** Sends @p text @p times times on every connection, or until the server closes it. */
    void sendRepeatedly(const std::string &text, int times)
    {
        std::vector<std::thread> senders;
        for (Tcp::socket &socket : m_sockets) {
            senders.emplace_back([&socket, &text, times] {
                boost::system::error_code error;
                for (int i = 0; i < times && !error; ++i) {
                    Asio::write(socket, Asio::buffer(text), error);
                }
            });
        }
        for (std::thread &sender : senders) {
            sender.join();
        }
    }

    /** Shuts every connection down, which also ends writes that block because the server does not read. */
    void shutdown()
    {
        for (Tcp::socket &socket : m_sockets) {
            boost::system::error_code ignored;
            socket.shutdown(Tcp::socket::shutdown_both, ignored);
        }
    }

    /** @return the number of connections that the server has not closed. */
    std::size_t open()
    {
        return static_cast<std::size_t>(std::count_if(m_sockets.begin(), m_sockets.end(), isOpen));
    }

    /** @return the number of connections with an unread answer that begins with @p text. */
    std::size_t answered(const std::string &text)
    {
        std::size_t count = 0;
        for (Tcp::socket &socket : m_sockets) {
            std::string start(text.size(), ' ');
            const auto got = ::recv(socket.native_handle(), start.data(), start.size(), MSG_PEEK | MSG_DONTWAIT);
            count += got == static_cast<ssize_t>(text.size()) && start == text ? 1U : 0U;
        }
        return count;
    }

private:
    static bool isOpen(Tcp::socket &socket)
    {
        char byte = 0;
        return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
    }

    Asio::io_context m_io;
    std::vector<Tcp::socket> m_sockets;
};

/** Checks that calls on new connections, one after the other, are all answered. */
void expectServed(Cluster &cluster)
{
    for (int i = 0; i < CALLS; ++i) {
        const std::string body = "ordinary " + std::to_string(i);
        HttpRequest request {"POST", "/v1/requests/phone-check", {}, body};
        request.fields.set(Field::TEAM, "bookings");
        request.fields.set("Connection", "close");
        const Answer answer = cluster.call(cluster.callers(0), request);
        ASSERT_EQ(200, answer.status) << i << " " << answer.body;
        ASSERT_EQ(body, answer.json().value("echo", ""));
    }
}

TEST(Clients, ThatSendHeadersSlowlyAreDisconnectedAndDelayNoOtherCaller)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    RawClient slow(cluster.callers(0), 300);
    slow.send("POST /v1/requests/phone-check HTTP/1.1\r\nX-Slow: ");
    const TimePoint begun = Clock::now();
    while (Clock::now() - begun < Millis(3'000)) {
        slow.send("x");
        expectServed(cluster);
    }
    // The time-out of a header is 5 s in total and does not restart with each byte.
    EXPECT_TRUE(Cluster::eventually(
        [&] {
            slow.send("x");
            return slow.open() == 0;
        },
        Millis(5'000)));
    EXPECT_EQ(300, cluster.metric(0, "papayahall_callers_cut_slow_header"));
    expectServed(cluster);
}

TEST(Clients, ThatSendBodiesSlowlyAreRefusedOrDisconnectedAndDelayNoOtherCaller)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    RawClient slow(cluster.callers(0), 300);
    slow.send("POST /v1/requests/phone-check HTTP/1.1\r\nHost: h\r\nPapayahall-Team: bookings\r\n"
              "Content-Length: 900000\r\n\r\nxxxx");
    // 1. All large bodies share a memory bound; requests above it are refused at once and not run.
    EXPECT_TRUE(Cluster::eventually([&] { return slow.answered("HTTP/1.1 503") >= 280; }, Millis(2'000)));
    expectServed(cluster);
    // 2. The others are disconnected after the time-out of a body, which is 10 s.
    const TimePoint begun = Clock::now();
    while (Clock::now() - begun < Millis(6'000)) {
        slow.send(std::string(64, 'x'));
        expectServed(cluster);
    }
    EXPECT_TRUE(Cluster::eventually([&] { return cluster.metric(0, "papayahall_callers_cut_slow_body") >= 1; }));
    EXPECT_EQ(300, cluster.metric(0, "papayahall_callers_cut_slow_body")
                       + cluster.metric(0, "papayahall_callers_refused_bodies"));
    expectServed(cluster);
}

TEST(Clients, ThatHoldThousandsOfIdleConnectionsLockNoOtherCallerOut)
{
    Cluster cluster({.settings = {{"callerConnections", 500}}});
    cluster.start(sampleConfig());
    RawClient idle(cluster.callers(0), 3'000);
    expectServed(cluster);
    // The connections that have been idle longest were closed.
    EXPECT_TRUE(Cluster::eventually([&] { return idle.open() <= 500; }, Millis(1'000)));
    EXPECT_GE(cluster.metric(0, "papayahall_callers_cut_idle"), 2'500);
    expectServed(cluster);
}

TEST(Clients, ThatReadNoAnswersAreDisconnected)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    RawClient greedy(cluster.callers(0), 20);
    const std::string body(100'000, 'b');
    const std::string request = "POST /v1/requests/phone-check HTTP/1.1\r\nHost: h\r\nPapayahall-Team: bookings\r\n"
                                "Content-Length: 100000\r\n\r\n"
                                + body;
    // Answers to pipelined requests that the client does not read fill the socket buffers and block the server's
    // writes.
    std::thread sender([&] { greedy.sendRepeatedly(request, 200); });
    expectServed(cluster);
    EXPECT_TRUE(Cluster::eventually([&] { return cluster.metric(0, "papayahall_callers_cut_slow_reader") >= 20; },
                                    Millis(30'000)));
    greedy.shutdown();
    greedy.shutdown();
    sender.join();
    expectServed(cluster);
}

} // namespace

} // namespace Papaya::Testing
