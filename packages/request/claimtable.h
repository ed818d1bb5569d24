#pragma once

#include "base/result.h"
#include "base/strong.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>

// Claims on idempotency keys. The first request to claim a key, in the order of the stream, owns the key: only the
// owner is sent to a minion, and later requests with the key get the owner's answer.

namespace Papaya
{

/** An idempotency key, which is unique within its team. */
struct ClaimKey {
    TeamName team;
    IdempotencyKey key;

    auto operator<=>(const ClaimKey &) const = default;
};

/** Record: a request claims a key. */
struct ClaimRecord {
    ClaimKey key;
    RequestId request;
    std::string bodyDigest;
};

/** An answer that is stored for replay; status 0 means that the outcome is unknown. */
struct StoredAnswer {
    int status = 0;
    std::string contentType;
    std::string body;

    bool operator==(const StoredAnswer &) const = default;
};

/** Record: the owner of a key has an outcome. */
struct ClaimOutcome {
    ClaimKey key;
    RequestId request;
    StoredAnswer answer;
};

/** Record: the owner of a key did not run and releases the key. */
struct ClaimRelease {
    ClaimKey key;
    RequestId request;
};

/** A record of the claim stream. */
using ClaimStreamRecord = std::variant<ClaimRecord, ClaimOutcome, ClaimRelease>;

/** @return @p record in wire format. */
nlohmann::json toJsonValue(const ClaimStreamRecord &record);
/**
 * Parses the wire format.
 * @return the record, or every error with its path
 */
Result<ClaimStreamRecord> parseClaimRecord(const nlohmann::json &value);

/** A claimed key. */
struct Claim {
    RequestId request;
    std::string bodyDigest;
    std::int64_t timeMs = 0; ///< time of the claim by the log service's clock
    /** Set once the owner has an outcome. */
    std::optional<StoredAnswer> answer;
    /** The body of the answer was too large to store or has been evicted; the request did run. */
    bool answerDropped = false;
};

/** The keys claimed within the horizon; older claims are evicted. */
class ClaimTable
{
public:
    /** @param horizonMs how long a claim is kept, in milliseconds */
    explicit ClaimTable(std::int64_t horizonMs);

    /**
     * Applies the next record of the stream and evicts claims that are older than the horizon.
     * @param timeMs when the log service accepted the record, by its clock
     * @return true if the record took effect; a void record changes no claim
     */
    bool apply(const ClaimStreamRecord &record, std::int64_t timeMs);

    /** @return the claim on @p key, or null. */
    [[nodiscard]] const Claim *find(const ClaimKey &key) const;

    [[nodiscard]] std::size_t size() const
    {
        return m_claims.size();
    }

private:
    bool applyRecord(const ClaimRecord &record, std::int64_t timeMs);
    bool applyRecord(const ClaimOutcome &record, std::int64_t timeMs);
    bool applyRecord(const ClaimRelease &record, std::int64_t timeMs);
    /** Removes claims older than the horizon. */
    void evictExpired(std::int64_t nowMs);
    /** Stores the owner's answer; evicts the oldest bodies while all bodies together exceed their limit. */
    void storeAnswer(Claim &claim, const ClaimKey &key, const StoredAnswer &answer);

    /** Size of the stored body of a claim's answer. */
    struct StoredBody {
        ClaimKey key;
        RequestId request;
        std::size_t bytes = 0;
    };
    /** Time of a claim, for eviction. */
    struct ClaimTime {
        std::int64_t timeMs = 0;
        ClaimKey key;
        RequestId request;
    };

    std::int64_t m_horizonMs;
    std::map<ClaimKey, Claim> m_claims;
    std::deque<ClaimTime> m_claimTimes;    ///< by time
    std::deque<StoredBody> m_storedBodies; ///< oldest first
    std::size_t m_storedBytes = 0;
};

} // namespace Papaya
