#pragma once

#include "connection/httpclient.h"
#include "connection/httpserver.h"
#include "connection/waiter.h"

#include <nlohmann/json.hpp>

#include <memory>

// What all stand-ins share: a server, JSON answers, and a control call that switches faults while it runs.

namespace Papaya::Standins
{

using Json = nlohmann::json;

/** @return milliseconds since the Unix epoch. */
std::int64_t nowMs();

/** @return an answer with a JSON body. */
HttpResponse jsonAnswer(int status, const Json &body);

/** @return the parsed body of a request; an empty object if it is none. */
Json bodyOf(const HttpRequest &request);

/** @return the number in query parameter @p name, or @p fallback. */
std::int64_t queryNumber(const HttpRequest &request, std::string_view name, std::int64_t fallback);

/** A stand-in that serves one address. */
class StandinServer : public HttpHandler
{
public:
    /** Starts to serve; port 0 takes a free one. */
    void listen(Asio::io_context &io, const Endpoint &address);
    /** Closes the listener and every connection, as a killed host would. */
    void close();

    [[nodiscard]] Endpoint address() const
    {
        return m_address;
    }

    Asio::awaitable<HttpResponse> handle(HttpRequest request) override;

protected:
    /** Answers a call of the stand-in's protocol. */
    virtual Asio::awaitable<HttpResponse> serve(HttpRequest request) = 0;
    /** Answers a call below /control. */
    virtual HttpResponse control(const HttpRequest &request) = 0;

private:
    Endpoint m_address;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Papaya::Standins
