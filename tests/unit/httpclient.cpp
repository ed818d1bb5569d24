#include "connection/httpclient.h"

#include "connection/httpserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

// Tests the number of event loop turns that an exchange takes, and that a request is not sent once it may not be.

namespace Papaya
{

namespace
{

constexpr std::size_t LARGE_ANSWER_BYTES = 256UL * 1024;

/** Answers every request with a large body and counts the requests. */
class LargeAnswers : public HttpHandler
{
public:
    Asio::awaitable<HttpResponse> handle(HttpRequest /*request*/) override
    {
        ++requests;
        HttpResponse response;
        response.body = std::string(LARGE_ANSWER_BYTES, 'x');
        co_return response;
    }
    std::atomic<int> requests = 0;
};

/** A server in a thread of its own. */
class ServerThread
{
public:
    explicit ServerThread(HttpHandler &handler)
        : m_work(m_io.get_executor())
        , m_server(HttpServer::listen(m_io, {"127.0.0.1", 0}, HttpLimits {}, handler))
        , m_thread([this] { m_io.run(); })
    {
    }
    ~ServerThread()
    {
        m_io.stop();
        m_thread.join();
    }
    ServerThread(const ServerThread &) = delete;
    ServerThread &operator=(const ServerThread &) = delete;

    [[nodiscard]] Endpoint address() const
    {
        return m_server->address();
    }

private:
    Asio::io_context m_io;
    Asio::executor_work_guard<Asio::io_context::executor_type> m_work;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_thread;
};

TEST(HttpClient, ReadsALargeAnswerInFewTurnsOfTheEventLoop)
{
    constexpr std::size_t MAX_TURNS = 128; // 2 KB a turn
    LargeAnswers answers;
    const ServerThread server(answers);
    Asio::io_context io(1);
    HttpPool pool(io);
    HttpResponse response;
    const auto fetch = [](HttpPool &from, Endpoint address, HttpResponse &into) -> Asio::awaitable<void> {
        HttpRequest request {"GET", "/", {}, {}};
        into = co_await from.exchange(address, std::move(request), Clock::now() + Millis(10'000));
    };
    Asio::co_spawn(io, fetch(pool, server.address(), response), Asio::detached);
    std::size_t turns = 0;
    while (response.body.empty() && io.run_one() > 0) {
        ++turns;
    }
    EXPECT_EQ(LARGE_ANSWER_BYTES, response.body.size());
    EXPECT_LE(turns, MAX_TURNS);
}

TEST(HttpClient, DoesNotSendARequestThatMayNoLongerBeSent)
{
    LargeAnswers answers;
    const ServerThread server(answers);
    Asio::io_context io(1);
    HttpPool pool(io);
    std::vector<FailureKind> failures;
    const auto fetch = [](HttpPool &from, Endpoint address, bool maySend,
                          std::vector<FailureKind> &into) -> Asio::awaitable<void> {
        HttpRequest request {"POST", "/", {}, {}};
        request.maySend = [maySend] { return maySend; };
        try {
            co_await from.exchangeOnce(address, std::move(request), Clock::now() + Millis(10'000));
        } catch (const HttpError &error) {
            into.push_back(error.kind());
        }
    };
    Asio::co_spawn(io, fetch(pool, server.address(), false, failures), Asio::detached);
    io.run();
    ASSERT_EQ(std::vector<FailureKind> {FailureKind::Withdrawn}, failures);
    EXPECT_EQ(0, answers.requests);
    Asio::co_spawn(io, fetch(pool, server.address(), true, failures), Asio::detached);
    io.restart();
    io.run();
    EXPECT_EQ(1U, failures.size());
    EXPECT_EQ(1, answers.requests);
}

// Guards against an order being in doubt because it was written into a connection that the peer had closed before.
TEST(HttpClient, SendsNothingOnAConnectionThatThePeerHasClosed)
{
    LargeAnswers answers;
    auto server = std::make_unique<ServerThread>(answers);
    const Endpoint address = server->address();
    Asio::io_context io(1);
    HttpPool pool(io);
    std::vector<FailureStage> failures;
    const auto fetch = [](HttpPool &from, Endpoint to, std::vector<FailureStage> &into) -> Asio::awaitable<void> {
        HttpRequest request {"POST", "/", {}, {}};
        try {
            co_await from.exchangeOnce(to, std::move(request), Clock::now() + Millis(10'000));
        } catch (const HttpError &error) {
            into.push_back(error.stage());
        }
    };
    Asio::co_spawn(io, fetch(pool, address, failures), Asio::detached);
    io.run();
    ASSERT_TRUE(failures.empty());
    server.reset();
    Asio::co_spawn(io, fetch(pool, address, failures), Asio::detached);
    io.restart();
    io.run();
    EXPECT_EQ(std::vector<FailureStage> {FailureStage::Connect}, failures);
}

} // namespace

} // namespace Papaya
