#pragma once

#include "connection/inputbudget.h"
#include "connection/peersession.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include <nghttp2/nghttp2.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

// An HTTP/2 connection between peers. Passes bytes between the socket and nghttp2 and assembles complete messages from
// the streams. All functions and callbacks run on the connection's strand.

namespace Papaya
{

/** Whether this end accepted the connection or opened it. */
enum class Http2Side { Server, Client };

/** A message assembled from the frames of a stream. */
struct Http2Message {
    std::string path;   ///< of a request, otherwise empty
    std::string status; ///< of an answer, otherwise empty
    std::string body;
};

/** An HTTP/2 connection. */
class Http2Connection : public std::enable_shared_from_this<Http2Connection>
{
public:
    /** Called for each complete message: a request on the server side, an answer on the client side. */
    using OnMessage = std::function<void(std::int32_t stream, Http2Message message)>;
    /** Called when a stream is closed with an error. */
    using OnStreamFailed = std::function<void(std::int32_t stream)>;

    static std::shared_ptr<Http2Connection> create(Asio::ip::tcp::socket socket, Http2Side side, PeerTraffic &traffic);
    ~Http2Connection();
    Http2Connection(const Http2Connection &) = delete;
    Http2Connection &operator=(const Http2Connection &) = delete;

    /** Sends the preface and starts to read. The callbacks must be set before the call. */
    void start();
    /** Closes the socket, calls onClosed and then releases all callbacks. */
    void close();
    [[nodiscard]] bool closed() const
    {
        return m_closed;
    }

    /** Sends a request. @return its stream, or a negative number if it cannot be sent. */
    std::int32_t sendRequest(const std::string &path, std::string body);
    void sendAnswer(std::int32_t stream, std::string body);
    void sendPing();

    /** Counts what the peer makes this end hold against @p budget. To be called before start(). */
    void limitMemory(std::shared_ptr<InputBudget> budget);
    /** @return when the last message was received. Thread-safe. */
    [[nodiscard]] TimePoint lastMessageAt() const
    {
        return m_lastMessageAt;
    }

    OnMessage onMessage;
    OnStreamFailed onStreamFailed;
    std::function<void()> onPong;
    std::function<void()> onClosed;

private:
    Http2Connection(Asio::ip::tcp::socket socket, PeerTraffic &traffic);

    struct SessionDeleter {
        void operator()(nghttp2_session *session) const
        {
            nghttp2_session_del(session);
        }
    };

    struct Outgoing {
        std::string body;
        std::size_t sent = 0;
    };

    void open(Http2Side side);
    void flush();
    [[nodiscard]] bool withinBudget();
    void eraseIncoming(std::int32_t stream);
    void eraseOutgoing(std::int32_t stream);
    nghttp2_data_provider makeDataProvider(std::string body, std::unique_ptr<Outgoing> &holder);
    static Asio::awaitable<void> readLoop(std::shared_ptr<Http2Connection> self);
    static Asio::awaitable<void> writeLoop(std::shared_ptr<Http2Connection> self);

    // Callbacks for nghttp2, whose user data is the connection.
    static int headerReceived(nghttp2_session *session, const nghttp2_frame *frame, const std::uint8_t *name,
                              std::size_t nameSize, const std::uint8_t *value, std::size_t valueSize,
                              std::uint8_t flags, void *user);
    static int dataReceived(nghttp2_session *session, std::uint8_t flags, std::int32_t stream, const std::uint8_t *data,
                            std::size_t size, void *user);
    static int frameReceived(nghttp2_session *session, const nghttp2_frame *frame, void *user);
    static int streamClosed(nghttp2_session *session, std::int32_t stream, std::uint32_t error, void *user);
    static ssize_t readOutgoing(nghttp2_session *session, std::int32_t stream, std::uint8_t *buffer, std::size_t size,
                                std::uint32_t *flags, nghttp2_data_source *source, void *user);

    Asio::ip::tcp::socket m_socket;
    PeerTraffic &m_traffic;
    std::unique_ptr<nghttp2_session, SessionDeleter> m_session;
    std::map<std::int32_t, Http2Message> m_incoming;
    std::map<std::int32_t, std::unique_ptr<Outgoing>> m_outgoing;
    std::string m_pending;                      ///< serialized frames not yet written to the socket
    std::optional<InputBudget::Share> m_memory; ///< absent on connections that this end has opened
    std::atomic<TimePoint> m_lastMessageAt {Clock::now()};
    std::size_t m_outgoingBytes = 0; ///< of all bodies in m_outgoing
    std::size_t m_incomingBytes = 0; ///< of all messages in m_incoming
    bool m_writing = false;
    bool m_receiving = false; ///< nghttp2_session_mem_recv() is running
    bool m_closed = false;
};

} // namespace Papaya
