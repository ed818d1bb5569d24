#include "standins/standinserver.h"

#include <charconv>

namespace Papaya::Standins
{

std::int64_t nowMs()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

HttpResponse jsonAnswer(int status, const Json &body)
{
    HttpResponse response;
    response.status = status;
    response.fields.set(Field::CONTENT_TYPE, "application/json");
    response.body = body.dump();
    return response;
}

Json bodyOf(const HttpRequest &request)
{
    Json body = Json::parse(request.body, nullptr, false);
    return body.is_object() ? body : Json::object();
}

std::int64_t queryNumber(const HttpRequest &request, std::string_view name, std::int64_t fallback)
{
    const std::string_view text = request.query(name);
    std::int64_t number = fallback;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

void StandinServer::listen(Asio::io_context &io, const Endpoint &address)
{
    HttpLimits limits;
    limits.bodyBytes = MAX_ANSWER_BYTES;
    m_server = HttpServer::listen(io, address, limits, *this);
    m_address = m_server->address();
}

void StandinServer::close()
{
    m_server.reset();
}

Asio::awaitable<HttpResponse> StandinServer::handle(HttpRequest request)
{
    if (request.path().starts_with("/control")) {
        co_return control(request);
    }
    co_return co_await serve(std::move(request));
}

} // namespace Papaya::Standins
