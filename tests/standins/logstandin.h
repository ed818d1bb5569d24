#pragma once

#include "standins/standinserver.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace Papaya::Standins
{

/** Faults and limits of the log stand-in, switchable while it runs. */
struct LogFaults {
    bool outage = false;          ///< every call is answered with 503
    bool silent = false;          ///< no call is answered
    std::int64_t delayMs = 0;     ///< before each answer
    std::int64_t loseAnswers = 0; ///< appends that take effect without an answer
    std::int64_t retentionMs = 24LL * 3'600'000;
};

/** Append-only streams in memory. */
class LogStandin : public StandinServer
{
public:
    void setFaults(const LogFaults &faults);
    [[nodiscard]] LogFaults faults() const;
    /** @return the data of every record that is kept. */
    [[nodiscard]] std::vector<std::string> records(const std::string &stream) const;
    /** Calls @p hook with the stream and the data of each record once it is kept, before the writer or a waiting reader
     * hears of it. */
    void setAppendHook(std::function<void(const std::string &, const std::string &)> hook);
    /** Appends directly, as an operator may. */
    void append(const std::string &stream, const std::string &data);
    /** @return the offset of the first record that is still kept, and that after the last. */
    [[nodiscard]] std::pair<std::uint64_t, std::uint64_t> kept(const std::string &stream);
    /** @return appends since the start. */
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
