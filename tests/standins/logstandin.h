#pragma once

#include "standins/standinserver.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace Papaya::Standins
{

/** Faults and limits that a test sets on the running log. */
struct LogFaults {
    bool outage = false;                         ///< every call is answered with 503
    bool silent = false;                         ///< no call is answered
    std::int64_t delayMs = 0;                    ///< delay before each call takes effect, in milliseconds
    std::int64_t loseAnswers = 0;                ///< number of appends that take effect but get no answer
    std::int64_t retentionMs = 24LL * 3'600'000; ///< age at which reads drop a record, in milliseconds
};

/** The platform's log service: append-only streams, held in memory. */
class LogStandin : public StandinServer
{
public:
    void setFaults(const LogFaults &faults);
    [[nodiscard]] LogFaults faults() const;
    /** @return the data of every retained record of @p stream. */
    [[nodiscard]] std::vector<std::string> records(const std::string &stream) const;
    /** Calls @p hook with the stream and the data of each record after the record is stored, before the writer gets its
     * answer and before waiting readers are notified. */
    void setAppendHook(std::function<void(const std::string &, const std::string &)> hook);
    /** Appends a record directly, as an operator may. */
    void append(const std::string &stream, const std::string &data);
    /** @return the offset of the first retained record and the offset after the last record. */
    [[nodiscard]] std::pair<std::uint64_t, std::uint64_t> kept(const std::string &stream);
    /** @return the number of append calls since the start. */
    [[nodiscard]] std::uint64_t appends() const;

protected:
    Asio::awaitable<HttpResponse> serve(HttpRequest request) override;
    HttpResponse control(const HttpRequest &request) override;

private:
    struct Record {
        std::int64_t timeMs = 0;
        std::string data;
    };
    struct Stream {
        std::uint64_t start = 0;
        std::deque<Record> records;
        [[nodiscard]] std::uint64_t end() const
        {
            return start + records.size();
        }
    };

    void expire(Stream &stream) const;
    Asio::awaitable<HttpResponse> append(const std::string &name, const HttpRequest &request);
    Asio::awaitable<HttpResponse> read(const std::string &name, const HttpRequest &request);

    mutable std::mutex m_mutex;
    LogFaults m_faults;
    std::map<std::string, Stream> m_streams;
    std::uint64_t m_appends = 0;
    std::function<void(const std::string &, const std::string &)> m_appendHook;
    Broadcast m_appended;
};

} // namespace Papaya::Standins
