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

// Claims on idempotency keys. The first claim of a key in the stream's order owns it; only its owner may forward the
// request, and its outcome is what every later request with the key is answered with.

namespace Papaya
{

/** A key within its team. */
struct ClaimKey {
    TeamName team;
    IdempotencyKey key;

    auto operator<=>(const ClaimKey &) const = default;
};

/** A request wants to be the one that runs for a key. */
struct ClaimRecord {
    ClaimKey key;
    RequestId request;
    std::string bodyDigest;
};

/** A kept answer; a status of 0 says that the outcome is unknown. */
struct KeptAnswer {
    int status = 0;
    std::string contentType;
    std::string body;

    bool operator==(const KeptAnswer &) const = default;
};

/** The owner of a key has an outcome. */
struct ClaimOutcome {
    ClaimKey key;
    RequestId request;
    KeptAnswer answer;
};

/** The owner of a key did not run and gives the key back. */
struct ClaimRelease {
    ClaimKey key;
    RequestId request;
};

using ClaimStreamRecord = std::variant<ClaimRecord, ClaimOutcome, ClaimRelease>;

/** @return the wire form of @p record. */
nlohmann::json toJsonValue(const ClaimStreamRecord &record);
/** Parses the wire form. */
Result<ClaimStreamRecord> parseClaimRecord(const nlohmann::json &value);

/** What is known about a key. */
struct Claim {
    RequestId request;
    std::string bodyDigest;
    std::int64_t timeMs = 0; ///< by the log service's clock
    std::optional<KeptAnswer> answer;
    /** The answer was larger than what is kept; the request did run. */
    bool answerDropped = false;
};

/** The keys claimed within the horizon. */
class ClaimTable
{
public:
    /** @param horizonMs how long a key is remembered */
    explicit ClaimTable(std::int64_t horizonMs);

    /**
     * Applies the next record of the stream.
     * @param timeMs when the log service took it
     * @return whether it counts
     */
    bool apply(const ClaimStreamRecord &record, std::int64_t timeMs);

    /** @return what is known about @p key, or null. */
    [[nodiscard]] const Claim *find(const ClaimKey &key) const;

    [[nodiscard]] std::size_t size() const
    {
        return m_claims.size();
    }

private:
    bool on(const ClaimRecord &record, std::int64_t timeMs);
    bool on(const ClaimOutcome &record, std::int64_t timeMs);
    bool on(const ClaimRelease &record, std::int64_t timeMs);
    void forgetOld(std::int64_t nowMs);
    void keepAnswer(Claim &claim, const ClaimKey &key, const KeptAnswer &answer);

    struct Kept {
        ClaimKey key;
        RequestId request;
        std::size_t bytes = 0;
    };
    struct Aging {
        std::int64_t timeMs = 0;
        ClaimKey key;
        RequestId request;
    };

    std::int64_t m_horizonMs;
    std::map<ClaimKey, Claim> m_claims;
    std::deque<Aging> m_order;
    std::deque<Kept> m_kept;
    std::size_t m_keptBytes = 0;
};

} // namespace Papaya
