#include "standins/platformstorestandin.h"

#include "base/codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

namespace Papaya::Standins
{

namespace
{

constexpr Millis POLL_INTERVAL {5};
constexpr std::size_t KEPT_ANSWERS = 5;
constexpr std::size_t PAGE_ITEMS = 500;
constexpr Millis MAX_APPEND_QUEUE {2'000};
constexpr Millis SILENCE_DURATION {60'000};
constexpr std::string_view APPEND_PATH = "/-/log-append";
constexpr std::string_view READ_PATH = "/-/log-read";
constexpr std::int64_t DEFAULT_MAX_KB = 1'024;

std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text += static_cast<char>(number >> shift & 0xff);
    }
    return text;
}

std::uint64_t fromBigEndian(std::string_view bytes)
{
    std::uint64_t number = 0;
    for (const char byte : bytes) {
        number = number << 8 | static_cast<unsigned char>(byte);
    }
    return number;
}

HttpResponse noAnswer()
{
    HttpResponse response;
    response.status = 0;
    return response;
}

/** @return @p text with each "%" and two hexadecimal digits replaced by the byte that they stand for. */
std::string percentDecoded(std::string_view text)
{
    constexpr std::size_t DIGITS = 2;
    constexpr int HEX_BASE = 16;
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + DIGITS < text.size()) {
            out += static_cast<char>(std::stoi(std::string(text.substr(i + 1, DIGITS)), nullptr, HEX_BASE));
            i += DIGITS;
        } else {
            out += text[i];
        }
    }
    return out;
}

} // namespace

void PlatformStoreStandin::setFaults(const StoreFaults &faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
}

void PlatformStoreStandin::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    add(m_topics[topic], {key, value});
}

void PlatformStoreStandin::compact(const std::string &topic)
{
    const std::lock_guard lock(m_mutex);
    TopicLog &log = m_topics[topic];
    log.first = log.end();
    log.kept.clear();
}

std::string PlatformStoreStandin::newest(const std::string &topic, const std::string &key) const
{
    const std::lock_guard lock(m_mutex);
    const auto log = m_topics.find(topic);
    if (log == m_topics.end() || !log->second.newest.contains(key)) {
        return {};
    }
    return log->second.newest.at(key).second;
}

std::vector<std::pair<std::string, std::string>> PlatformStoreStandin::history(const std::string &topic) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::pair<std::string, std::string>> all;
    const auto log = m_topics.find(topic);
    if (log != m_topics.end()) {
        for (const Record &record : log->second.all) {
            all.emplace_back(record.key, record.value);
        }
    }
    return all;
}

void PlatformStoreStandin::add(TopicLog &log, const Record &record)
{
    log.newest[record.key] = {log.end(), record.value};
    if (record.value.empty()) {
        log.newest.erase(record.key);
    }
    log.kept.push_back(record);
    log.all.push_back(record);
}

Asio::awaitable<HttpResponse> PlatformStoreStandin::serve(HttpRequest request)
{
    StoreFaults faults;
    {
        const std::lock_guard lock(m_mutex);
        faults = m_faults;
    }
    if (faults.delayMs > 0) {
        co_await sleepFor(Millis(faults.delayMs));
    }
    const std::string path(request.path());
    const std::string topic(request.query("topic"));
    const bool topicSilent = !topic.empty()
                             && (topic == faults.silentTopic || (path == READ_PATH && topic == faults.silentReads)
                                 || (path == APPEND_PATH && topic == faults.silentAppends));
    if (faults.silent || topicSilent) {
        co_await sleepFor(SILENCE_DURATION);
        co_return noAnswer();
    }
    if (faults.busy) {
        co_return jsonAnswer(503, Json::object());
    }
    if (path == APPEND_PATH) {
        co_return co_await append(std::move(request));
    }
    if (path == READ_PATH) {
        co_return co_await read(std::move(request));
    }
    if (path == "/-/log-newest") {
        co_return newestPage(request);
    }
    co_return jsonAnswer(404, Json::object());
}

Asio::awaitable<HttpResponse> PlatformStoreStandin::append(HttpRequest request)
{
    std::int64_t lateMs = 0;
    bool late = false;
    bool lost = false;
    Duration queued {0};
    {
        const std::lock_guard lock(m_mutex);
        if (m_faults.appendMs > 0) {
            TimePoint &doneAt = m_topics[std::string(request.query("topic"))].appendsDoneAt;
            doneAt = std::max(doneAt, Clock::now());
            queued = doneAt - Clock::now();
            if (queued > MAX_APPEND_QUEUE) {
                co_return jsonAnswer(503, Json::object());
            }
            doneAt += Millis(m_faults.appendMs);
            queued += Millis(m_faults.appendMs);
        }
        late = m_faults.lateAppends > 0;
        lost = !late && m_faults.loseAnswers > 0;
        lateMs = m_faults.lateMs;
        m_faults.lateAppends -= late ? 1 : 0;
        m_faults.loseAnswers -= lost ? 1 : 0;
        m_faults.busy = m_faults.busy || (lost && m_faults.busyAfterLoss);
    }
    if (queued > Duration(0)) {
        co_await sleepFor(queued);
    }
    if (late) {
        co_await sleepFor(Millis(lateMs));
        appendNow(request);
        co_return noAnswer();
    }
    HttpResponse response = appendNow(request);
    co_return lost ? noAnswer() : std::move(response);
}

HttpResponse PlatformStoreStandin::appendNow(const HttpRequest &request)
{
    const std::lock_guard lock(m_mutex);
    bool tooLarge = request.body.size() > m_faults.callBytes;
    for (std::string_view rest = request.body; rest.size() >= 4;) {
        const std::size_t length = fromBigEndian(rest.substr(0, 4));
        tooLarge = tooLarge || length > m_faults.recordBytes;
        rest.remove_prefix(std::min(rest.size(), 4 + length));
    }
    if (tooLarge) {
        return jsonAnswer(413, Json::object());
    }
    TopicLog &log = m_topics[std::string(request.query("topic"))];
    const std::string producer(request.query("producer"));
    const auto epoch = static_cast<std::uint64_t>(queryNumber(request, "epoch", 0));
    const auto sequence = static_cast<std::uint64_t>(queryNumber(request, "sequence", 0));
    if (queryNumber(request, "at", static_cast<std::int64_t>(log.end())) != static_cast<std::int64_t>(log.end())) {
        return jsonAnswer(412, {{"end", log.end()}});
    }
    if (!producer.empty()) {
        Writer &writer = log.writers[producer];
        if (epoch < writer.epoch) {
            return jsonAnswer(409, {{"reason", "fenced"}});
        }
        if (epoch > writer.epoch) {
            writer = {epoch, sequence - 1, {}};
        }
        if (const auto repeat = writer.answers.find(sequence); repeat != writer.answers.end()) {
            return jsonAnswer(200, repeat->second);
        }
        if (sequence != writer.sequence + 1) {
            return jsonAnswer(409, {{"reason", "seq"}, {"sequence", writer.sequence + 1}});
        }
    }
    const std::uint64_t offset = log.end();
    std::string_view bytes = request.body;
    while (bytes.size() >= 4) {
        const std::size_t length = fromBigEndian(bytes.substr(0, 4));
        const std::string_view record = bytes.substr(4, length);
        bytes.remove_prefix(4 + length);
        const auto keyLength = static_cast<unsigned char>(record[0]);
        Record added {std::string(record.substr(1, keyLength)), std::string(record.substr(1 + keyLength))};
        if (!request.query("at").empty() && m_faults.stolenClaims > 0) {
            --m_faults.stolenClaims;
            Json claim = *parseCbor(added.value);
            claim[1] = "rival"; // the name of the node
            added.value = toCbor(claim);
        }
        add(log, added);
    }
    const Json answer = {{"offset", offset}, {"end", log.end()}};
    if (!producer.empty()) {
        Writer &writer = log.writers[producer];
        writer.sequence = sequence;
        writer.answers[sequence] = answer;
        if (writer.answers.size() > KEPT_ANSWERS) {
            writer.answers.erase(writer.answers.begin());
        }
    }
    return jsonAnswer(200, answer);
}

Asio::awaitable<HttpResponse> PlatformStoreStandin::read(HttpRequest request)
{
    const std::string topic(request.query("topic"));
    const auto from = static_cast<std::uint64_t>(queryNumber(request, "from", 0));
    const TimePoint deadline = Clock::now() + Millis(queryNumber(request, "waitMs", 0));
    const auto maxBytes = static_cast<std::size_t>(1'024 * queryNumber(request, "maxKb", DEFAULT_MAX_KB));
    HttpResponse response;
    std::int64_t readKbPerS = 0;
    while (response.body.empty()) {
        {
            const std::lock_guard lock(m_mutex);
            const TopicLog &log = m_topics[topic];
            readKbPerS = m_faults.readKbPerS;
            if (m_faults.silent || topic == m_faults.silentReads) {
                co_return noAnswer();
            }
            if (from < log.first) {
                co_return jsonAnswer(410, {{"first", log.first}});
            }
            if (from < log.end() || Clock::now() >= deadline) {
                response.body = bigEndian(log.end(), 8) + bigEndian(log.first, 8);
                for (std::uint64_t offset = from; offset < log.end(); ++offset) {
                    const Record &record = log.kept[offset - log.first];
                    const std::size_t length = 1 + record.key.size() + record.value.size();
                    if (offset > from && response.body.size() + length > maxBytes) {
                        break;
                    }
                    response.body += bigEndian(length, 4);
                    response.body += static_cast<char>(record.key.size());
                    response.body += record.key + record.value;
                }
            }
        }
        if (response.body.empty()) {
            co_await sleepFor(POLL_INTERVAL);
        }
    }
    if (readKbPerS > 0) {
        co_await sleepFor(Millis(static_cast<std::int64_t>(response.body.size()) * 1'000 / 1'024 / readKbPerS));
    }
    co_return response;
}

HttpResponse PlatformStoreStandin::newestPage(const HttpRequest &request)
{
    const std::lock_guard lock(m_mutex);
    const TopicLog &log = m_topics[std::string(request.query("topic"))];
    const std::string after = percentDecoded(request.query("dependsOn"));
    Json items = Json::array();
    auto place = after.empty() ? log.newest.begin() : log.newest.upper_bound(after);
    for (; place != log.newest.end() && items.size() < PAGE_ITEMS; ++place) {
        items.push_back(
            {{"key", place->first}, {"value", toBase64(place->second.second)}, {"offset", place->second.first}});
    }
    return jsonAnswer(200, {{"items", items}, {"hasMore", place != log.newest.end()}, {"end", log.end()}});
}

HttpResponse PlatformStoreStandin::control(const HttpRequest &)
{
    return jsonAnswer(404, Json::object());
}

} // namespace Papaya::Standins
