#pragma once

#include "connection/peersession.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include <nghttp2/nghttp2.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

// One HTTP/2 connection between peers: moves bytes between its socket and nghttp2, and collects whole messages from
// its streams. Everything runs on the connection's strand.

namespace Papaya
{

/** Whether this end accepted the connection or opened it. */
enum class Http2Side { Server, Client };

/** A message collected from a stream. */
struct Http2Message {
    std::string path;   ///< of a request
    std::string status; ///< of an answer
    std::string body;
};

/** An HTTP/2 connection. */
class Http2Connection : public std::enable_shared_from_this<Http2Connection>
{
public:
    /** Called for each whole message; for a server it is a request, for a client an answer. */
    using OnMessage = std::function<void(std::int32_t stream, Http2Message message)>;
    /** Called when a stream ends without a whole message. */
    using OnStreamFailed = std::function<void(std::int32_t stream)>;

    static std::shared_ptr<Http2Connection> create(Asio::ip::tcp::socket socket, Http2Side side, PeerTraffic &traffic);
    ~Http2Connection();
    Http2Connection(const Http2Connection &) = delete;
    Http2Connection &operator=(const Http2Connection &) = delete;

    /** Sends the preface and starts to read; the callbacks must be set before. */
    void start();
    void close();
    [[nodiscard]] bool closed() const
    {
        return m_closed;
    }

    /** @return the stream of the request, or a negative number if it cannot be sent. */
    std::int32_t sendRequest(const std::string &path, std::string body);
    void sendAnswer(std::int32_t stream, std::string body);
    void sendPing();

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
    nghttp2_data_provider makeDataProvider(std::string body, std::unique_ptr<Outgoing> &holder);
    static Asio::awaitable<void> readLoop(std::shared_ptr<Http2Connection> self);
    static Asio::awaitable<void> writeLoop(std::shared_ptr<Http2Connection> self);

    // nghttp2's callbacks; user data is the connection.
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
    std::string m_pending; ///< bytes to be written
    bool m_writing = false;
    bool m_receiving = false; ///< nghttp2 is calling back
    bool m_closed = false;
};

} // namespace Papaya
