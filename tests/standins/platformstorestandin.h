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

/** Faults that a test injects into the running store. */
struct StoreFaults {
    bool busy = false;            ///< every call is answered with 503 and has no effect
    bool silent = false;          ///< no call is answered or has an effect
    std::string silentTopic;      ///< no call on this topic is answered or has an effect
    std::string silentReads;      ///< no read of this topic is answered
    std::string silentAppends;    ///< no append to this topic is answered or has an effect
    std::int64_t readKbPerS = 0;  ///< rate at which reads return records; 0: unlimited
    std::int64_t delayMs = 0;     ///< delay before each call takes effect, in milliseconds
    std::int64_t appendMs = 0;    ///< duration of an append, in milliseconds; those to one topic wait for each other
    std::int64_t loseAnswers = 0; ///< number of appends that take effect but get no answer
    /** Number of claims in whose place the store has one of another node with the same epoch; answered as stored. */
    std::int64_t stolenClaims = 0;
    bool busyAfterLoss = false; ///< the store turns busy with the first lost answer
    /** Number of appends that get no answer and take effect after lateMs, if still valid then. */
    std::int64_t lateAppends = 0;
    std::int64_t lateMs = 0;           ///< delay of a late append, in milliseconds
    std::size_t callBytes = 2'097'152; ///< an append of more is refused with 413
    std::size_t recordBytes = 262'144; ///< an append with a larger record is refused with 413
};

/**
 * The platform's store: a log with keyed topics of one partition each. Consumer groups are not implemented, as no test
 * uses them.
 */
class PlatformStoreStandin : public StandinServer
{
public:
    void setFaults(const StoreFaults &faults);
    /** Appends a record as the operator or a minion would. An empty value deletes the key. */
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /** Removes all records of @p topic from the log; the newest value of each key remains readable. */
    void compact(const std::string &topic);
    /** @return the newest value of @p key, or an empty string if there is none. */
    [[nodiscard]] std::string newest(const std::string &topic, const std::string &key) const;
    /** @return key and value of every record ever appended to @p topic, including compacted ones. */
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
        std::map<std::uint64_t, Json> answers; ///< answers to the last appends, by sequence number
    };
    struct TopicLog {
        TimePoint appendsDoneAt;                                             ///< end of the appends that wait
        std::uint64_t first = 0;                                             ///< offset of the first record in kept
        std::deque<Record> kept;                                             ///< records that reads return
        std::vector<Record> all;                                             ///< every record, including compacted ones
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest; ///< offset and value by key
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
