#include "request/claimtable.h"

#include "base/codec.h"
#include "base/objectreader.h"

namespace Papaya
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t MAX_STORED_BYTES = 8UL * 1024 * 1024; // bodies of all stored answers together
constexpr std::size_t MAX_STORED_ANSWER_BYTES = 256UL * 1024;

const std::vector<std::string_view> TYPE_NAMES {"claim", "outcome", "release"};

Json keyFields(const ClaimKey &key, const RequestId &request)
{
    return {{"team", key.team.value()}, {"key", key.key.value()}, {"request", request.value()}};
}

/** Serialises the fields of each record type, without the name of the type. */
class RecordSerializer
{
public:
    Json operator()(const ClaimRecord &record) const
    {
        Json value = keyFields(record.key, record.request);
        value["digest"] = record.bodyDigest;
        return value;
    }
    Json operator()(const ClaimOutcome &record) const
    {
        const std::string &body = record.answer.body;
        Json value = keyFields(record.key, record.request);
        value["status"] = record.answer.status;
        value["type"] = record.answer.contentType;
        value["body"] = Json::binary(std::vector<std::uint8_t>(body.begin(), body.end()));
        return value;
    }
    Json operator()(const ClaimRelease &record) const
    {
        return keyFields(record.key, record.request);
    }
};

} // namespace

Json toJsonValue(const ClaimStreamRecord &record)
{
    Json value = std::visit(RecordSerializer {}, record);
    value["t"] = TYPE_NAMES[record.index()];
    return value;
}

Result<ClaimStreamRecord> parseClaimRecord(const Json &value)
{
    constexpr std::int64_t MAX_STATUS = 999;
    Errors errors;
    ObjectReader reader(value, "", errors);
    const auto type = reader.oneOf("t", TYPE_NAMES, Presence::Required);
    ClaimKey key;
    key.team = TeamName(reader.text("team", Presence::Required).value_or(""));
    key.key = IdempotencyKey(reader.text("key", Presence::Required).value_or(""));
    const RequestId request(reader.text("request", Presence::Required).value_or(""));
    ClaimStreamRecord record = ClaimRelease {key, request};
    if (type == 0U) {
        record = ClaimRecord {key, request, reader.text("digest", Presence::Required).value_or("")};
    } else if (type == 1U) {
        ClaimOutcome outcome {key, request, {}};
        outcome.answer.status =
            static_cast<int>(reader.integer("status", 0, MAX_STATUS, Presence::Required).value_or(0));
        outcome.answer.contentType = reader.text("type", Presence::Required).value_or("");
        const auto body = value.is_object() ? value.find("body") : value.end();
        if (body != value.end() && body->is_binary()) {
            outcome.answer.body.assign(body->get_binary().begin(), body->get_binary().end());
        } else {
            reader.report("wrong-type", "must be a byte string", "body");
        }
        record = std::move(outcome);
    }
    if (!errors.empty()) {
        return errors;
    }
    return record;
}

ClaimTable::ClaimTable(std::int64_t horizonMs)
    : m_horizonMs(horizonMs)
{
}

bool ClaimTable::apply(const ClaimStreamRecord &record, std::int64_t timeMs)
{
    evictExpired(timeMs);
    return std::visit([&](const auto &typed) { return applyRecord(typed, timeMs); }, record);
}

const Claim *ClaimTable::find(const ClaimKey &key) const
{
    const auto found = m_claims.find(key);
    return found == m_claims.end() ? nullptr : &found->second;
}

bool ClaimTable::applyRecord(const ClaimRecord &record, std::int64_t timeMs)
{
    Claim claim;
    claim.request = record.request;
    claim.bodyDigest = record.bodyDigest;
    claim.timeMs = timeMs;
    if (!m_claims.emplace(record.key, std::move(claim)).second) {
        return false;
    }
    m_claimTimes.push_back({timeMs, record.key, record.request});
    return true;
}

bool ClaimTable::applyRecord(const ClaimOutcome &record, std::int64_t /*timeMs*/)
{
    const auto found = m_claims.find(record.key);
    if (found == m_claims.end() || found->second.request != record.request || found->second.answer) {
        return false;
    }
    storeAnswer(found->second, record.key, record.answer);
    return true;
}

bool ClaimTable::applyRecord(const ClaimRelease &record, std::int64_t /*timeMs*/)
{
    const auto found = m_claims.find(record.key);
    if (found == m_claims.end() || found->second.request != record.request || found->second.answer) {
        return false;
    }
    m_claims.erase(found);
    return true;
}

void ClaimTable::storeAnswer(Claim &claim, const ClaimKey &key, const StoredAnswer &answer)
{
    claim.answer = answer;
    if (answer.body.size() > MAX_STORED_ANSWER_BYTES) {
        claim.answer->body.clear();
        claim.answerDropped = true;
        return;
    }
    m_storedBodies.push_back({key, claim.request, answer.body.size()});
    m_storedBytes += answer.body.size();
    while (m_storedBytes > MAX_STORED_BYTES) {
        const StoredBody oldest = m_storedBodies.front();
        m_storedBodies.pop_front();
        m_storedBytes -= oldest.bytes;
        const auto found = m_claims.find(oldest.key);
        if (found != m_claims.end() && found->second.request == oldest.request) {
            found->second.answer->body.clear();
            found->second.answerDropped = true;
        }
    }
}

void ClaimTable::evictExpired(std::int64_t nowMs)
{
    while (!m_claimTimes.empty() && m_claimTimes.front().timeMs < nowMs - m_horizonMs) {
        const auto found = m_claims.find(m_claimTimes.front().key);
        if (found != m_claims.end() && found->second.request == m_claimTimes.front().request) {
            m_claims.erase(found);
        }
        m_claimTimes.pop_front();
    }
}

} // namespace Papaya
