#pragma once

#include "standins/standinserver.h"

#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace Papaya::Standins
{

/** Faults of the platform's store, switchable while it runs. */
struct StoreFaults {
    bool busy = false;            ///< every call is answered with 503, and nothing is done
    bool silent = false;          ///< no call is answered, and nothing is done
    std::string silentTopic;      ///< no call on this topic is answered, and nothing is done
    std::int64_t delayMs = 0;     ///< before each answer
    std::int64_t loseAnswers = 0; ///< appends that take effect without an answer
    bool busyAfterLoss = false;   ///< busy from the first lost answer on
    std::int64_t lateAppends = 0; ///< appends without an answer that take effect after lateMs, if still allowed then
    std::int64_t lateMs = 0;
};

/** The platform's store: a log with keyed topics, of one partition each. Group membership is left out; nothing uses it.
 */
class PlatformStoreStandin : public StandinServer
{
public:
    void setFaults(const StoreFaults &faults);
    /** Writes a record as the operator or a minion does; an empty value drops the key. */
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /** Deletes all records of @p topic; the newest of each key stays readable. */
    void compact(const std::string &topic);
    /** @return the newest value of @p key; empty if there is none. */
    [[nodiscard]] std::string newest(const std::string &topic, const std::string &key) const;
    /** @return keys with the values of all records that were ever appended to @p topic. */
    [[nodiscard]] std::vector<std::pair<std::string, std::string>> history(const std::string &topic) const;

protected:
    Asio::awaitable<HttpResponse> serve(HttpRequest request) override;
    HttpResponse control(const HttpRequest &request) override;

private:
    struct Record {
        std::string key;
        std::string value;
    };
    struct Writer {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        std::map<std::uint64_t, Json> answers; ///< of the last appends, by sequence
    };
    struct TopicLog {
        std::uint64_t first = 0;
        std::deque<Record> kept;
        std::vector<Record> all;
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
        std::map<std::string, Writer> writers;
        [[nodiscard]] std::uint64_t end() const
        {
            return first + kept.size();
        }
    };

    static void add(TopicLog &log, const Record &record);
    Asio::awaitable<HttpResponse> append(HttpRequest request);
    HttpResponse appendNow(const HttpRequest &request);
    Asio::awaitable<HttpResponse> read(HttpRequest request);
    HttpResponse newestPage(const HttpRequest &request);

    mutable std::mutex m_mutex;
    StoreFaults m_faults;
    std::map<std::string, TopicLog> m_topics;
};

} // namespace Papaya::Standins
