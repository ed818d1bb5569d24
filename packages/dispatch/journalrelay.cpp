#include "dispatch/journalrelay.h"

#include "base/codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace Papaya
{

namespace
{

using Json = nlohmann::json;

constexpr std::string_view PATH = "/v1/journal";
constexpr Millis CONNECT_TIMEOUT {300};
constexpr Millis ANSWER_MARGIN {100}; // for the answer to travel back before the sender's deadline
constexpr Millis MAX_WAIT {5'000};

bool isFromCaller(const StoredRecord &record)
{
    const auto decoded = decodeRecord(record.key, record.value);
    return decoded
           && (std::holds_alternative<StepJobSubmitted>(*decoded)
               || std::holds_alternative<StepJobCancelled>(*decoded));
}

HttpResponse makeResponse(int status)
{
    HttpResponse response;
    response.status = status;
    return response;
}

} // namespace

std::string encodeRelayed(const std::vector<StoredRecord> &records)
{
    Json list = Json::array();
    for (const StoredRecord &record : records) {
        list.push_back({record.key, toBase64(record.value)});
    }
    return toJson(list);
}

std::optional<std::vector<StoredRecord>> decodeRelayed(std::string_view text)
{
    const auto list = parseJson(text);
    if (!list || !list->is_array()) {
        return std::nullopt;
    }
    std::vector<StoredRecord> records;
    for (const Json &item : *list) {
        const bool pair = item.is_array() && item.size() == 2 && item[0].is_string() && item[1].is_string();
        if (!pair) {
            return std::nullopt;
        }
        auto value = fromBase64(item[1].get<std::string>());
        if (!value) {
            return std::nullopt;
        }
        records.push_back({item[0].get<std::string>(), std::move(*value)});
        if (!isFromCaller(records.back())) {
            return std::nullopt;
        }
    }
    return records;
}

JournalRelay::JournalRelay(HttpPool &pool)
    : m_pool(pool)
{
}

Asio::awaitable<RelayAnswer> JournalRelay::append(Endpoint peer, std::vector<StoredRecord> records, TimePoint deadline)
{
    const Millis wait = std::chrono::duration_cast<Millis>(deadline - Clock::now()) - ANSWER_MARGIN;
    if (wait.count() <= 0) {
        co_return RelayAnswer {};
    }
    HttpRequest request;
    request.method = "POST";
    request.target = PATH;
    request.target += "?waitMs=" + std::to_string(wait.count());
    request.body = encodeRelayed(records);
    request.fields.set(Field::CONTENT_TYPE, "application/json");
    HttpConnectionPtr connection;
    try {
        connection =
            co_await m_pool.acquire(peer, Millis(5'000), std::min(deadline, TimePoint(Clock::now() + CONNECT_TIMEOUT)));
    } catch (const HttpError &) {
        co_return RelayAnswer {};
    }
    try {
        const HttpResponse response = co_await connection->exchange(request, deadline);
        m_pool.release(peer, std::move(connection));
        if (response.status == 200) {
            co_return RelayAnswer {AppendOutcome::Stored, true};
        }
        // Any other status than 503 may come from a node that failed after it had sent the records.
        co_return RelayAnswer {response.status == 503 ? AppendOutcome::NotStored : AppendOutcome::Unknown, true};
    } catch (const HttpError &) {
        m_pool.dropIdle(peer);
        co_return RelayAnswer {AppendOutcome::Unknown, false};
    }
}

RelayReceiver::RelayReceiver(Append append)
    : m_append(std::move(append))
{
}

Asio::awaitable<HttpResponse> RelayReceiver::handle(HttpRequest request)
{
    if (request.method != "POST" || request.path() != PATH) {
        co_return makeResponse(404);
    }
    auto records = decodeRelayed(request.body);
    const std::string_view text = request.query("waitMs");
    std::int64_t wait = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), wait);
    if (!records || error != std::errc() || wait <= 0) {
        co_return makeResponse(400);
    }
    const TimePoint deadline = Clock::now() + std::min(Millis(wait), MAX_WAIT);
    switch (co_await m_append(std::move(*records), deadline)) {
    case AppendOutcome::Stored:
        co_return makeResponse(200);
    case AppendOutcome::NotStored:
        co_return makeResponse(503);
    default:
        co_return makeResponse(504);
    }
}

} // namespace Papaya
