#pragma once

#include "connection/httpclient.h"
#include "connection/httpserver.h"
#include "connection/waiter.h"

#include <nlohmann/json.hpp>

#include <memory>

// Common parts of the stand-ins: an HTTP server, JSON answers, and control calls that change faults at run time.

namespace Papaya::Standins
{

using Json = nlohmann::json;

/** @return milliseconds since the Unix epoch. */
std::int64_t nowMs();

/** @return a response with the JSON body @p body. */
HttpResponse jsonAnswer(int status, const Json &body);

/** @return the request's body as a JSON object; an empty object if the body is not one. */
Json bodyOf(const HttpRequest &request);

/** @return the value of the query parameter @p name as a number, or @p fallback if it is missing or not a number. */
std::int64_t queryNumber(const HttpRequest &request, std::string_view name, std::int64_t fallback);

/** Base of the stand-ins: serves one address and separates control calls from the stand-in's protocol. */
class StandinServer : public HttpHandler
{
public:
    /** Starts to serve @p address. Port 0 selects a free port. */
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
    /** Answers a call whose path begins with /control. */
    virtual HttpResponse control(const HttpRequest &request) = 0;

private:
    Endpoint m_address;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Papaya::Standins
