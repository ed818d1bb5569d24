#include "connection/peersession.h"
#include "deployment.h"
#include "process/gossip.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <nghttp2/nghttp2.h>

#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <filesystem>
#include <fstream>
#include <thread>

// Tests that clients outside the limits neither end a process nor exhaust its memory or descriptors. They run apart
// from other tests (scripts/test).

namespace Papaya::Testing
{

namespace
{

using Tcp = Asio::ip::tcp;

constexpr std::size_t MEMORY_BOUND_MB = 100; // peak of a process with a few jobs; the smallest hosts have 160 MB
constexpr std::size_t FLOOD_BYTES = 8UL * 1024 * 1024;
constexpr std::size_t FLOODING_CONNECTIONS = 24;
constexpr std::size_t HOLDING_CONNECTIONS = 800;
constexpr rlim_t DESCRIPTOR_LIMIT = 400;
constexpr std::size_t DESCRIPTOR_BOUND = 380;
constexpr std::size_t CONNECTIONS_PER_LISTENER = 300; // each listener alone stays below the limit, two of them do not
constexpr timeval SEND_TIMEOUT {3, 0};
constexpr Millis SETTLING_TIME {500}; // for the server to read what the sockets hold

/** @return the number after @p key in the status of process @p pid, in MB; 0 if the process has ended. */
std::size_t memoryMb(int pid, const std::string &key)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(key + ":")) {
            return std::stoul(line.substr(key.size() + 1)) / 1024;
        }
    }
    return 0;
}

std::size_t descriptors(int pid)
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid) + "/fd", error);
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

/** Lowers the limit on descriptors for processes that are started during its lifetime. */
class DescriptorLimit
{
public:
    DescriptorLimit()
    {
        ::getrlimit(RLIMIT_NOFILE, &m_previous);
        const rlimit lowered {DESCRIPTOR_LIMIT, m_previous.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~DescriptorLimit()
    {
        ::setrlimit(RLIMIT_NOFILE, &m_previous);
    }
    DescriptorLimit(const DescriptorLimit &) = delete;
    DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
    rlimit m_previous {};
};

/** Connections that send bytes and read nothing. */
class Crowd
{
public:
    Crowd(const Endpoint &server, std::size_t connections)
    {
        for (std::size_t i = 0; i < connections; ++i) {
            boost::system::error_code ignored;
            m_sockets.emplace_back(m_io);
            m_sockets.back().connect({Asio::ip::make_address(server.ip), server.port}, ignored);
            ::setsockopt(m_sockets.back().native_handle(), SOL_SOCKET, SO_SNDTIMEO, &SEND_TIMEOUT,
                         sizeof(SEND_TIMEOUT));
        }
    }

    /**
     * Sends on every connection at once, unless it is closed or the server reads nothing.
     * @param prefix sent once
     * @param unit sent repeatedly, up to @p bytes in total
     */
    void send(const std::string &prefix, const std::string &unit, std::size_t bytes)
    {
        std::string block;
        while (block.size() + unit.size() <= std::min<std::size_t>(bytes, 64UL * 1024)) {
            block += unit;
        }
        constexpr std::size_t SENDERS = 24;
        std::vector<std::thread> senders;
        for (std::size_t first = 0; first < SENDERS; ++first) {
            senders.emplace_back([&, first] {
                for (std::size_t i = first; i < m_sockets.size(); i += SENDERS) {
                    bool open = sendAll(m_sockets[i], prefix);
                    for (std::size_t sent = 0; open && sent + block.size() <= bytes; sent += block.size()) {
                        open = sendAll(m_sockets[i], block);
                    }
                }
            });
        }
        for (std::thread &sender : senders) {
            sender.join();
        }
        std::this_thread::sleep_for(SETTLING_TIME);
    }

private:
    static bool sendAll(Tcp::socket &socket, const std::string &text)
    {
        for (std::size_t sent = 0; sent < text.size();) {
            const ssize_t part = ::send(socket.native_handle(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (part <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(part);
        }
        return true;
    }

    Asio::io_context m_io;
    std::vector<Tcp::socket> m_sockets;
};

/** A process under test with its listeners and one ordinary request to each. */
class Target
{
public:
    virtual ~Target() = default;
    virtual void start() = 0;
    [[nodiscard]] virtual std::vector<Endpoint> listeners() const = 0;
    [[nodiscard]] virtual int pid() const = 0;
    /** @return the statuses of one ordinary request to each HTTP/1.1 listener; 0 for a request without an answer. */
    virtual std::vector<int> ordinaryStatuses() = 0;

    /** Checks that the process lives within the bounds and answers. */
    void expectWithinLimits()
    {
        std::printf("peak memory %zu MB, %zu descriptors\n", memoryMb(pid(), "VmHWM"), descriptors(pid()));
        EXPECT_GT(memoryMb(pid(), "VmHWM"), 0U) << "the process has ended";
        EXPECT_LE(memoryMb(pid(), "VmHWM"), MEMORY_BOUND_MB);
        std::vector<int> statuses;
        EXPECT_TRUE(Cluster::eventually([&] {
            statuses = ordinaryStatuses();
            return std::all_of(statuses.begin(), statuses.end(), [](int status) { return status / 100 == 2; });
        })) << ::testing::PrintToString(statuses);
    }
};

/** A node in --platform mode, with the listeners callers, ready and peers. */
class PlatformTarget : public Target
{
public:
    void start() override
    {
        deployment.start();
    }
    [[nodiscard]] std::vector<Endpoint> listeners() const override
    {
        return {deployment.callers(0), deployment.operators(0), deployment.peers(0)};
    }
    [[nodiscard]] int pid() const override
    {
        return deployment.nodes[0]->pid();
    }
    std::vector<int> ordinaryStatuses() override
    {
        HttpRequest relayed {"POST", "/v1/journal?waitMs=2000", {}, "[]"};
        HttpPool pool(deployment.io);
        const int peerStatus =
            Asio::co_spawn(deployment.io, exchange(pool, deployment.peers(0), std::move(relayed), Millis(3'000)),
                           Asio::use_future)
                .get()
                .status;
        return {deployment.submit(0, "plan", deployment.newId(), Deployment::step(1)).status,
                deployment.callOperatorApi(0, "GET", "/admin/status").status, peerStatus};
    }

    Deployment deployment {{.nodes = 1, .minions = 1}};
};

/** An instance in the other mode, with the listeners callers, admin and peers (HTTP/2). */
class InstanceTarget : public Target
{
public:
    void start() override
    {
        cluster.start(sampleConfig());
    }
    [[nodiscard]] std::vector<Endpoint> listeners() const override
    {
        return {cluster.callers(0), cluster.admin(0), cluster.peers(0)};
    }
    [[nodiscard]] int pid() const override
    {
        return cluster.instances[0]->pid();
    }
    std::vector<int> ordinaryStatuses() override
    {
        return {cluster.request(0, "phone-check", "ordinary").status,
                cluster.call(cluster.admin(0), {"GET", "/admin/status", {}, ""}).status};
    }

    Cluster cluster {{.instances = 1}};
};

std::unique_ptr<Target> makeTarget(const std::string &mode)
{
    if (mode == "Platform") {
        return std::make_unique<PlatformTarget>();
    }
    return std::make_unique<InstanceTarget>();
}

/** Input that a crowd sends on each of its connections. */
struct Input {
    const char *name;
    std::size_t connections;
    std::string prefix;
    std::string unit;
    std::size_t bytes; ///< limit on all units of a connection
};

const std::string CHUNKED = "POST /plan/0000000000abcdef HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

/** @return inputs that grow on a connection, or by the number of connections that hold them. */
std::vector<Input> httpInputs()
{
    const std::string letters(1'000, 'a');
    return {{"Trailers", FLOODING_CONNECTIONS, CHUNKED + "0\r\n", "X-Trailer: " + letters + "\r\n", FLOOD_BYTES},
            {"ChunkExtension", FLOODING_CONNECTIONS, CHUNKED + "1;", letters, FLOOD_BYTES},
            {"TinyChunks", FLOODING_CONNECTIONS, CHUNKED, "1\r\nx\r\n", FLOOD_BYTES},
            {"TinyFields", HOLDING_CONNECTIONS, "GET / HTTP/1.1\r\nHost: h\r\n", "a:\r\n", 16'000},
            {"UnfinishedBodies", HOLDING_CONNECTIONS, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 16384\r\n\r\n",
             "x", 16'000},
            {"ExpectContinue", HOLDING_CONNECTIONS,
             "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 16384\r\n\r\n", "x", 8},
            {"UnreadAnswers", HOLDING_CONNECTIONS, "", "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 256UL * 1024}};
}

/** A mode of papayahalld and the index of one of its HTTP/1.1 listeners. */
struct ListenerCase {
    const char *mode;
    const char *name;
    std::size_t index;
};

class ClientLimits : public ::testing::TestWithParam<ListenerCase>
{
};

// Guards against input of one request that is buffered without a limit, on each HTTP/1.1 listener.
TEST_P(ClientLimits, BoundWhatRequestsHoldInMemory)
{
    for (const Input &input : httpInputs()) {
        SCOPED_TRACE(input.name);
        std::printf("%s: ", input.name);
        const auto target = makeTarget(GetParam().mode);
        target->start();
        Crowd crowd(target->listeners()[GetParam().index], input.connections);
        crowd.send(input.prefix, input.unit, input.bytes);
        target->expectWithinLimits();
    }
}

INSTANTIATE_TEST_SUITE_P(Listeners, ClientLimits,
                         ::testing::Values(ListenerCase {"Platform", "Callers", 0},
                                           ListenerCase {"Platform", "Ready", 1}, ListenerCase {"Platform", "Peers", 2},
                                           ListenerCase {"Instance", "Callers", 0},
                                           ListenerCase {"Instance", "Admin", 1}),
                         [](const auto &parameter) {
                             return std::string(parameter.param.mode) + parameter.param.name;
                         });

class ProcessLimits : public ::testing::TestWithParam<const char *>
{
};

// Guards against listeners that together accept more connections than the process has descriptors.
TEST_P(ProcessLimits, KeepDescriptorsFreeWhenConnectionsAreHeldOpenOnAllListeners)
{
    const auto target = makeTarget(GetParam());
    {
        const DescriptorLimit limit;
        target->start();
    }
    std::vector<std::unique_ptr<Crowd>> crowds;
    for (const Endpoint &listener : target->listeners()) {
        crowds.push_back(std::make_unique<Crowd>(listener, CONNECTIONS_PER_LISTENER));
    }
    std::this_thread::sleep_for(SETTLING_TIME);
    EXPECT_LE(descriptors(target->pid()), DESCRIPTOR_BOUND);
    target->expectWithinLimits();
}

INSTANTIATE_TEST_SUITE_P(Modes, ProcessLimits, ::testing::Values("Platform", "Instance"),
                         [](const auto &parameter) { return std::string(parameter.param); });

// Guards against a list of errors that grows with the number of wrong values in a document.
TEST(ClientDocuments, WithManyErrorsDoNotExhaustMemory)
{
    std::string steps = "1";
    while (steps.size() < 1'000'000) {
        steps += ",1";
    }
    PlatformTarget platform;
    platform.start();
    std::printf("Platform: ");
    platform.deployment.callOperatorApi(0, "POST", "/v1/jobs", R"({"queue":"plan","steps":[)" + steps + "]}");
    platform.expectWithinLimits();
    InstanceTarget instance;
    instance.start();
    std::printf("Instance: ");
    instance.cluster.call(instance.cluster.admin(0), {"PUT", "/admin/config", {}, R"({"templates":[)" + steps + "]}"});
    instance.expectWithinLimits();
}

/** An HTTP/2 client that begins the most streams that are allowed and never ends their bodies. */
class UnfinishedStreams
{
public:
    static constexpr int STREAMS = 32;
    static constexpr std::size_t BODY_BYTES = 1'900'000;

    explicit UnfinishedStreams(const Endpoint &server)
        : m_socket(m_io)
    {
        m_socket.connect({Asio::ip::make_address(server.ip), server.port});
        nghttp2_session_callbacks *callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_client_new(&m_session, callbacks, nullptr);
        nghttp2_session_callbacks_del(callbacks);
        nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, nullptr, 0);
        for (std::size_t &left : m_left) {
            std::string texts[] = {":method", "POST", ":scheme", "http", ":authority", "p", ":path", "/config"};
            std::array<nghttp2_nv, 4> fields {};
            for (std::size_t i = 0; i < fields.size(); ++i) {
                std::string &name = texts[2 * i];
                std::string &value = texts[2 * i + 1];
                fields[i] = {reinterpret_cast<std::uint8_t *>(name.data()),
                             reinterpret_cast<std::uint8_t *>(value.data()), name.size(), value.size(),
                             NGHTTP2_NV_FLAG_NONE};
            }
            left = BODY_BYTES;
            nghttp2_data_provider provider {{.ptr = &left}, readBody};
            nghttp2_submit_request(m_session, nullptr, fields.data(), fields.size(), &provider, nullptr);
        }
    }
    ~UnfinishedStreams()
    {
        nghttp2_session_del(m_session);
    }
    UnfinishedStreams(const UnfinishedStreams &) = delete;
    UnfinishedStreams &operator=(const UnfinishedStreams &) = delete;

    /** Sends until every body has been sent, the server has closed the connection or sends nothing for a second. */
    void run()
    {
        std::array<std::uint8_t, 16'384> buffer {};
        while (true) {
            const std::uint8_t *data = nullptr;
            for (ssize_t size = 0; (size = nghttp2_session_mem_send(m_session, &data)) > 0;) {
                boost::system::error_code error;
                Asio::write(m_socket, Asio::buffer(data, static_cast<std::size_t>(size)), error);
                if (error) {
                    return;
                }
            }
            pollfd waiting {m_socket.native_handle(), POLLIN, 0};
            if (::poll(&waiting, 1, 1'000) <= 0) {
                return;
            }
            const ssize_t got = ::recv(m_socket.native_handle(), buffer.data(), buffer.size(), 0);
            if (got <= 0 || nghttp2_session_mem_recv(m_session, buffer.data(), static_cast<std::size_t>(got)) < 0) {
                return;
            }
        }
    }

private:
    static ssize_t readBody(nghttp2_session * /*session*/, std::int32_t /*stream*/, std::uint8_t *buffer,
                            std::size_t size, std::uint32_t * /*flags*/, nghttp2_data_source *source, void * /*user*/)
    {
        auto &left = *static_cast<std::size_t *>(source->ptr);
        const std::size_t part = std::min(size, left);
        std::fill_n(buffer, part, std::uint8_t {'x'});
        left -= part;
        return part == 0 ? ssize_t {NGHTTP2_ERR_DEFERRED} : static_cast<ssize_t>(part);
    }

    Asio::io_context m_io;
    Tcp::socket m_socket;
    nghttp2_session *m_session = nullptr;
    std::array<std::size_t, STREAMS> m_left {};
};

// Guards against bodies of HTTP/2 streams that are limited one by one but not in total.
TEST(PeerLimits, BoundUnfinishedBodiesOfAllStreams)
{
    constexpr std::size_t CONNECTIONS = 6;
    InstanceTarget target;
    target.start();
    std::vector<std::unique_ptr<UnfinishedStreams>> clients;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < CONNECTIONS; ++i) {
        clients.push_back(std::make_unique<UnfinishedStreams>(target.cluster.peers(0)));
        threads.emplace_back([&client = *clients.back()] { client.run(); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    target.expectWithinLimits();
}

/** Sends @p bodies as gossip, one after the other, on a new session each time that the instance has closed one. */
void gossip(InstanceTarget &target, std::size_t count, const std::function<std::string(std::size_t)> &makeBody)
{
    static PeerTraffic traffic;
    std::unique_ptr<PeerSession> session;
    for (std::size_t i = 0; i < count; ++i) {
        try {
            const TimePoint deadline = Clock::now() + Millis(3'000);
            if (!session) {
                session = Asio::co_spawn(target.cluster.io,
                                         connectPeer(target.cluster.io, target.cluster.peers(0), traffic, deadline),
                                         Asio::use_future)
                              .get();
            }
            Asio::co_spawn(target.cluster.io, session->exchange("/gossip", makeBody(i), deadline), Asio::use_future)
                .get();
        } catch (const PeerError &) {
            session.reset();
        }
    }
}

// Guards against a table of peers that grows with the names that a client makes up.
TEST(PeerLimits, BoundTheGossipOfUnknownInstances)
{
    constexpr std::size_t INSTANCES = 1'500;
    InstanceTarget target;
    target.start();
    Gossip known;
    for (int i = 0; i < 900; ++i) {
        known.leaving.insert(MinionId(std::to_string(i) + std::string(100, 'm')));
    }
    gossip(target, INSTANCES, [&](std::size_t i) {
        known.instance = InstanceId("stranger-" + std::to_string(i));
        return known.toBytes();
    });
    target.expectWithinLimits();
}

// Guards against CBOR of one byte for each empty map, which takes eighty times as much memory when it is decoded.
TEST(PeerLimits, BoundWideDocuments)
{
    constexpr std::uint32_t MAPS = 2'000'000;
    InstanceTarget target;
    target.start();
    std::string body {'\x9a'};
    for (const int shift : {24, 16, 8, 0}) {
        body += static_cast<char>(MAPS >> shift);
    }
    body.append(MAPS, '\xa0');
    gossip(target, 2, [&](std::size_t) { return body; });
    target.expectWithinLimits();
}

} // namespace

} // namespace Papaya::Testing
