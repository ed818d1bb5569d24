#include "connection/logservice.h"

#include "base/codec.h"
#include "base/objectreader.h"

namespace Papaya
{

namespace
{

using Json = nlohmann::json;

constexpr int STATUS_OK = 200;
constexpr int STATUS_GONE = 410;
constexpr int FIRST_ERROR_STATUS = 400;

Offset toOffset(std::optional<std::int64_t> number)
{
    return Offset(static_cast<std::uint64_t>(number.value_or(0)));
}

Result<LogPage> parsePage(const std::string &body)
{
    const auto document = parseJson(body);
    if (!document) {
        return document.errors();
    }
    Errors errors;
    ObjectReader reader(*document, "", errors);
    LogPage page;
    page.start = toOffset(reader.integer("start", 0, INT64_MAX, Presence::Required));
    page.end = toOffset(reader.integer("end", 0, INT64_MAX, Presence::Required));
    const Json *records = reader.array("records", Presence::Required);
    for (std::size_t i = 0; records != nullptr && i < records->size(); ++i) {
        ObjectReader fields((*records)[i], "records[" + std::to_string(i) + "]", errors);
        LogRecord record;
        record.offset = toOffset(fields.integer("offset", 0, INT64_MAX, Presence::Required));
        record.timeMs = fields.integer("timeMs", 0, INT64_MAX).value_or(0);
        record.data = fields.text("data", Presence::Required).value_or("");
        page.records.push_back(std::move(record));
    }
    if (!errors.empty()) {
        return errors;
    }
    return page;
}

std::string appendBody(const std::vector<std::string> &records)
{
    return toJson({{"records", records}});
}

class HttpLogService : public LogService
{
public:
    HttpLogService(HttpPool &pool, Endpoint endpoint)
        : m_pool(pool)
        , m_endpoint(std::move(endpoint))
    {
    }

    Asio::awaitable<Offset> append(std::string stream, std::vector<std::string> records, TimePoint deadline) override
    {
        HttpRequest request {"POST", "/v1/streams/" + stream, {}, appendBody(records)};
        request.fields.set(Field::CONTENT_TYPE, "application/json");
        HttpResponse response;
        try {
            response = co_await m_pool.exchange(m_endpoint, std::move(request), deadline);
        } catch (const HttpError &error) {
            const bool notSent = error.stage() == FailureStage::Connect;
            throw AppendError(notSent ? AppendFailure::NotTaken : AppendFailure::Unknown, error.what());
        }
        if (response.status >= FIRST_ERROR_STATUS) {
            throw AppendError(AppendFailure::NotTaken,
                              "log service rejected the append with status " + std::to_string(response.status));
        }
        const auto document = parseJson(response.body);
        Errors errors;
        if (document) {
            ObjectReader reader(*document, "", errors);
            if (const auto offset = reader.integer("offset", 0, INT64_MAX, Presence::Required)) {
                co_return toOffset(offset);
            }
        }
        throw AppendError(AppendFailure::Unknown, "log service confirmed the append without a valid offset");
    }

    Asio::awaitable<LogPage> read(std::string stream, Offset from, std::size_t limit, Millis wait,
                                  TimePoint deadline) override
    {
        HttpRequest request;
        request.method = "GET";
        request.target = "/v1/streams/" + stream + "?from=" + std::to_string(from.value())
                         + "&limit=" + std::to_string(limit) + "&waitMs=" + std::to_string(wait.count());
        HttpResponse response;
        try {
            response = co_await m_pool.exchange(m_endpoint, std::move(request), deadline);
        } catch (const HttpError &error) {
            throw ReadError(error.what());
        }
        if (response.status == STATUS_GONE) {
            throwRecordsExpired(response.body);
        }
        if (response.status != STATUS_OK) {
            throw ReadError("log service rejected the read with status " + std::to_string(response.status));
        }
        auto page = parsePage(response.body);
        if (!page) {
            throw ReadError("log service sent a malformed page: " + page.errors().front().message);
        }
        co_return std::move(*page);
    }

private:
    [[noreturn]] static void throwRecordsExpired(const std::string &body)
    {
        const auto document = parseJson(body);
        Errors errors;
        if (document) {
            ObjectReader reader(*document, "", errors);
            if (const auto start = reader.integer("start", 0, INT64_MAX, Presence::Required)) {
                throw RecordsExpiredError(toOffset(start));
            }
        }
        throw ReadError("log service sent status 410 without a valid start offset");
    }

    HttpPool &m_pool;
    const Endpoint m_endpoint;
};

} // namespace

std::unique_ptr<LogService> makeHttpLogService(HttpPool &pool, const Endpoint &endpoint)
{
    return std::make_unique<HttpLogService>(pool, endpoint);
}

} // namespace Papaya
