#include "dispatch/renewalinquiry.h"

#include "base/codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace Papaya
{

namespace
{

using Json = nlohmann::json;

constexpr std::string_view PATH = "/v1/renewals";
constexpr Millis MAX_AGE {10'000}; // clocks of two hosts measure a longer one too differently to rely on it

} // namespace

RenewalInquiryReceiver::RenewalInquiryReceiver(std::string node, EndedAgo endedAgo, HttpHandler &next)
    : m_node(std::move(node))
    , m_endedAgo(std::move(endedAgo))
    , m_next(next)
{
}

Asio::awaitable<HttpResponse> RenewalInquiryReceiver::handle(HttpRequest request)
{
    if (request.method != "GET" || request.path() != PATH) {
        co_return co_await m_next.handle(std::move(request));
    }
    HttpResponse response;
    response.status = 400;
    const std::string_view text = request.query("epoch");
    std::uint64_t epoch = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), epoch);
    if (error == std::errc() && end == text.data() + text.size()) {
        Json body = {{"node", m_node}};
        if (const auto ago = m_endedAgo(Epoch(epoch))) {
            body["endedAgoMs"] = std::min(*ago, MAX_AGE).count();
        }
        response.status = 200;
        response.body = toJson(body);
        response.fields.set(Field::CONTENT_TYPE, "application/json");
    }
    co_return response;
}

Asio::awaitable<std::optional<Millis>> askForRenewals(HttpPool &pool, Endpoint peer, std::string node, Epoch epoch,
                                                      Millis timeout)
{
    HttpRequest request;
    request.method = "GET";
    request.target = PATH;
    request.target += "?epoch=" + std::to_string(epoch.value());
    std::optional<Millis> ago;
    try {
        const HttpResponse response = co_await pool.exchangeOnce(peer, std::move(request), Clock::now() + timeout);
        const auto body = parseJson(response.body);
        const bool valid = response.status == 200 && body && body->is_object() && body->value("node", "") == node;
        if (valid && body->contains("endedAgoMs")) {
            ago = Millis(std::max<std::int64_t>(0, body->at("endedAgoMs").get<std::int64_t>()));
        }
    } catch (const HttpError &) {
        ago.reset(); // no answer is no evidence
    } catch (const Json::exception &) {
        ago.reset();
    }
    co_return ago;
}

} // namespace Papaya
