#pragma once

#include "base/result.h"
#include "base/strong.h"

#include <nlohmann/json.hpp>

#include <string>
#include <unordered_map>
#include <vector>

// One append to the claims stream or the journal: the writer's identity and a batch of records. A writer that does not
// know whether an append took effect appends the same records again; readers drop the second copy.

namespace Papaya
{

/** One record with its sequence number, which rises with each record of a writer. */
struct BatchItem {
    std::uint64_t sequence = 0;
    nlohmann::json payload;
};

/** Records appended together by one incarnation of an instance. */
struct StreamBatch {
    InstanceId writer;
    Incarnation incarnation;
    std::vector<BatchItem> items;

    /** Parses the data of a log record: base64 of CBOR. @return the batch, or every error with its path */
    static Result<StreamBatch> fromText(std::string_view text);
    /** @return the text that fromText() parses. */
    [[nodiscard]] std::string toText() const;
};

/** Drops second copies of records. In the stream's order, new records of a writer have rising sequence numbers. */
class DuplicateFilter
{
public:
    /** @return true if the record is new, which is remembered; false if it is a copy or of an earlier incarnation. */
    bool accept(const InstanceId &writer, Incarnation incarnation, std::uint64_t sequence);

    /** @return the state in its snapshot form. */
    [[nodiscard]] nlohmann::json toJsonValue() const;
    /** Parses the form of toJsonValue(). */
    static Result<DuplicateFilter> fromJson(const nlohmann::json &value);

private:
    struct LastSeen {
        Incarnation incarnation;
        std::uint64_t sequence = 0;
    };
    std::unordered_map<InstanceId, LastSeen> m_lastSeen;
};

} // namespace Papaya
