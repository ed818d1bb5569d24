#include "connection/http2connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace Papaya
{

namespace
{

constexpr std::size_t MAX_BODY_BYTES = 2UL * 1024 * 1024;
constexpr std::uint32_t MAX_CONCURRENT_STREAMS = 32;
constexpr std::size_t MAX_PENDING_BYTES = 8UL * 1024 * 1024; // a peer that does not read is disconnected above this

Http2Connection &connectionOf(void *user)
{
    return *static_cast<Http2Connection *>(user);
}

nghttp2_nv headerField(const std::string &name, const std::string &value)
{
    // nghttp2 copies both strings, since NGHTTP2_NV_FLAG_NONE is set.
    auto *nameBytes = reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data()));
    auto *valueBytes = reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data()));
    return {nameBytes, valueBytes, name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

} // namespace

std::shared_ptr<Http2Connection> Http2Connection::create(Asio::ip::tcp::socket socket, Http2Side side,
                                                         PeerTraffic &traffic)
{
    std::shared_ptr<Http2Connection> connection(new Http2Connection(std::move(socket), traffic));
    connection->open(side);
    return connection;
}

Http2Connection::Http2Connection(Asio::ip::tcp::socket socket, PeerTraffic &traffic)
    : m_socket(std::move(socket))
    , m_traffic(traffic)
{
}

Http2Connection::~Http2Connection() = default;

void Http2Connection::open(Http2Side side)
{
    nghttp2_session_callbacks *callbacks = nullptr;
    if (nghttp2_session_callbacks_new(&callbacks) != 0) {
        throw std::bad_alloc();
    }
    nghttp2_session_callbacks_set_on_header_callback(callbacks, headerReceived);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, dataReceived);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, frameReceived);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, streamClosed);
    nghttp2_session *session = nullptr;
    const int result = side == Http2Side::Server ? nghttp2_session_server_new(&session, callbacks, this)
                                                 : nghttp2_session_client_new(&session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    if (result != 0) {
        throw std::bad_alloc();
    }
    m_session.reset(session);
}

void Http2Connection::limitMemory(std::shared_ptr<InputBudget> budget)
{
    m_memory.emplace(std::move(budget), [weak = weak_from_this(), executor = m_socket.get_executor()] {
        Asio::post(executor, [weak] {
            if (const auto self = weak.lock()) {
                self->close();
            }
        });
    });
    m_memory->setWaiting();
}

bool Http2Connection::withinBudget()
{
    return !m_memory || m_memory->hold(m_incomingBytes + m_outgoingBytes + m_pending.size());
}

void Http2Connection::eraseIncoming(std::int32_t stream)
{
    if (const auto found = m_incoming.find(stream); found != m_incoming.end()) {
        m_incomingBytes -= found->second.body.size();
        m_incoming.erase(found);
    }
}

void Http2Connection::eraseOutgoing(std::int32_t stream)
{
    if (const auto found = m_outgoing.find(stream); found != m_outgoing.end()) {
        m_outgoingBytes -= found->second->body.size();
        m_outgoing.erase(found);
    }
}

void Http2Connection::start()
{
    const std::array<nghttp2_settings_entry, 1> settings {
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MAX_CONCURRENT_STREAMS}}};
    nghttp2_submit_settings(m_session.get(), NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    flush();
    Asio::co_spawn(m_socket.get_executor(), readLoop(shared_from_this()), Asio::detached);
}

void Http2Connection::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    if (onClosed) {
        onClosed();
    }
    // The callbacks may own objects that own this connection, so they must be released to break the cycle. One of them
    // may be running now, so they are released later.
    Asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->onMessage = nullptr;
        self->onStreamFailed = nullptr;
        self->onPong = nullptr;
        self->onClosed = nullptr;
    });
}

nghttp2_data_provider Http2Connection::makeDataProvider(std::string body, std::unique_ptr<Outgoing> &holder)
{
    holder = std::make_unique<Outgoing>();
    holder->body = std::move(body);
    m_outgoingBytes += holder->body.size();
    nghttp2_data_provider provider;
    provider.source.ptr = holder.get();
    provider.read_callback = readOutgoing;
    return provider;
}

std::int32_t Http2Connection::sendRequest(const std::string &path, std::string body)
{
    static const std::string METHOD_NAME = ":method";
    static const std::string METHOD = "POST";
    static const std::string SCHEME_NAME = ":scheme";
    static const std::string SCHEME = "http";
    static const std::string AUTHORITY_NAME = ":authority";
    static const std::string AUTHORITY = "peer";
    static const std::string PATH_NAME = ":path";
    if (m_closed) {
        return -1;
    }
    const std::array<nghttp2_nv, 4> fields {headerField(METHOD_NAME, METHOD), headerField(SCHEME_NAME, SCHEME),
                                            headerField(AUTHORITY_NAME, AUTHORITY), headerField(PATH_NAME, path)};
    std::unique_ptr<Outgoing> outgoing;
    const nghttp2_data_provider provider = makeDataProvider(std::move(body), outgoing);
    const std::int32_t stream =
        nghttp2_submit_request(m_session.get(), nullptr, fields.data(), fields.size(), &provider, nullptr);
    if (stream >= 0) {
        m_outgoing[stream] = std::move(outgoing);
        flush();
    }
    return stream;
}

void Http2Connection::sendAnswer(std::int32_t stream, std::string body)
{
    static const std::string STATUS_NAME = ":status";
    static const std::string STATUS = "200";
    if (m_closed) {
        return;
    }
    const std::array<nghttp2_nv, 1> fields {headerField(STATUS_NAME, STATUS)};
    std::unique_ptr<Outgoing> outgoing;
    const nghttp2_data_provider provider = makeDataProvider(std::move(body), outgoing);
    m_outgoing[stream] = std::move(outgoing);
    nghttp2_submit_response(m_session.get(), stream, fields.data(), fields.size(), &provider);
    flush();
}

void Http2Connection::sendPing()
{
    if (!m_closed) {
        nghttp2_submit_ping(m_session.get(), NGHTTP2_FLAG_NONE, nullptr);
        flush();
    }
}

void Http2Connection::flush()
{
    // nghttp2_session_mem_send() must not be called from a callback of nghttp2. readLoop() flushes afterwards.
    if (m_receiving) {
        return;
    }
    while (true) {
        const std::uint8_t *data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(m_session.get(), &data);
        if (size <= 0) {
            break;
        }
        m_pending.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(size));
    }
    if (m_pending.size() > MAX_PENDING_BYTES) {
        close();
        return;
    }
    if (!m_pending.empty() && !m_writing && !m_closed) {
        m_writing = true;
        Asio::co_spawn(m_socket.get_executor(), writeLoop(shared_from_this()), Asio::detached);
    }
}

Asio::awaitable<void> Http2Connection::writeLoop(std::shared_ptr<Http2Connection> self)
{
    boost::system::error_code error;
    while (!self->m_pending.empty() && !self->m_closed) {
        std::string bytes;
        bytes.swap(self->m_pending);
        self->m_traffic.sent += bytes.size();
        co_await Asio::async_write(self->m_socket, Asio::buffer(bytes),
                                   Asio::redirect_error(Asio::use_awaitable, error));
        if (error) {
            self->close();
        }
    }
    self->m_writing = false;
}

Asio::awaitable<void> Http2Connection::readLoop(std::shared_ptr<Http2Connection> self)
{
    std::array<std::uint8_t, 16384> buffer {};
    boost::system::error_code error;
    while (!self->m_closed) {
        const std::size_t size = co_await self->m_socket.async_read_some(
            Asio::buffer(buffer), Asio::redirect_error(Asio::use_awaitable, error));
        if (error) {
            break;
        }
        self->m_traffic.received += size;
        self->m_receiving = true;
        const ssize_t consumed = nghttp2_session_mem_recv(self->m_session.get(), buffer.data(), size);
        self->m_receiving = false;
        if (consumed < 0) {
            break;
        }
        self->flush();
        if (!self->withinBudget()) {
            break;
        }
    }
    self->close();
}

int Http2Connection::headerReceived(nghttp2_session * /*session*/, const nghttp2_frame *frame, const std::uint8_t *name,
                                    std::size_t nameSize, const std::uint8_t *value, std::size_t valueSize,
                                    std::uint8_t /*flags*/, void *user)
{
    const std::string_view key(reinterpret_cast<const char *>(name), nameSize);
    const std::string_view text(reinterpret_cast<const char *>(value), valueSize);
    Http2Message &message = connectionOf(user).m_incoming[frame->hd.stream_id];
    if (key == ":path") {
        message.path = text;
    } else if (key == ":status") {
        message.status = text;
    }
    return 0;
}

int Http2Connection::dataReceived(nghttp2_session * /*session*/, std::uint8_t /*flags*/, std::int32_t stream,
                                  const std::uint8_t *data, std::size_t size, void *user)
{
    Http2Connection &self = connectionOf(user);
    Http2Message &message = self.m_incoming[stream];
    if (message.body.size() + size > MAX_BODY_BYTES) {
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    message.body.append(reinterpret_cast<const char *>(data), size);
    self.m_incomingBytes += size;
    return 0;
}

int Http2Connection::frameReceived(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *user)
{
    Http2Connection &self = connectionOf(user);
    const bool pong = frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0;
    if (pong && self.onPong) {
        self.onPong();
    }
    const bool carriesMessage = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (!carriesMessage || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
        return 0;
    }
    const auto found = self.m_incoming.find(frame->hd.stream_id);
    if (found == self.m_incoming.end()) {
        return 0;
    }
    Http2Message message = std::move(found->second);
    self.m_incomingBytes -= message.body.size();
    self.m_incoming.erase(found);
    self.m_lastMessageAt = Clock::now();
    if (self.m_memory) {
        self.m_memory->setWaiting();
    }
    if (self.onMessage) {
        self.onMessage(frame->hd.stream_id, std::move(message));
    }
    return 0;
}

int Http2Connection::streamClosed(nghttp2_session * /*session*/, std::int32_t stream, std::uint32_t error, void *user)
{
    Http2Connection &self = connectionOf(user);
    self.eraseIncoming(stream);
    self.eraseOutgoing(stream);
    if (error != NGHTTP2_NO_ERROR && self.onStreamFailed) {
        self.onStreamFailed(stream);
    }
    return 0;
}

ssize_t Http2Connection::readOutgoing(nghttp2_session * /*session*/, std::int32_t /*stream*/, std::uint8_t *buffer,
                                      std::size_t size, std::uint32_t *flags, nghttp2_data_source *source,
                                      void * /*user*/)
{
    auto &outgoing = *static_cast<Outgoing *>(source->ptr);
    const std::size_t part = std::min(size, outgoing.body.size() - outgoing.sent);
    std::copy_n(outgoing.body.data() + outgoing.sent, part, reinterpret_cast<char *>(buffer));
    outgoing.sent += part;
    if (outgoing.sent == outgoing.body.size()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(part);
}

} // namespace Papaya
