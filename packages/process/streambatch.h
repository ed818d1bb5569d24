#pragma once

#include "base/result.h"
#include "base/strong.h"

#include <nlohmann/json.hpp>

#include <string>
#include <unordered_map>
#include <vector>

// One append to a stream of the system's own: the writer's identity and the records that ride together. A writer that
// did not hear whether an append took effect sends the same records again; readers drop the second copy.

namespace Papaya
{

/** One record with its place in its writer's sequence. */
struct BatchItem {
    std::uint64_t sequence = 0;
    nlohmann::json payload;
};

/** Records appended together by one life of one instance. */
struct StreamBatch {
    InstanceId writer;
    Incarnation incarnation;
    std::vector<BatchItem> items;

    /** Parses the data of a record: base64 of CBOR. */
    static Result<StreamBatch> fromText(std::string_view text);
    /** @return the text that fromText() takes. */
    [[nodiscard]] std::string toText() const;
};

/** Drops records that were seen before. Sequences of one writer only rise in the stream's order. */
class DuplicateFilter
{
public:
    /** @return true if the record is new; it then counts as seen. */
    bool accept(const InstanceId &writer, Incarnation incarnation, std::uint64_t sequence);

    /** @return the state for a snapshot. */
    [[nodiscard]] nlohmann::json toJsonValue() const;
    /** Restores the state of toJsonValue(). */
    static Result<DuplicateFilter> fromJson(const nlohmann::json &value);

private:
    struct LastSeen {
        Incarnation incarnation;
        std::uint64_t sequence = 0;
    };
    std::unordered_map<InstanceId, LastSeen> m_lastSeen;
};

} // namespace Papaya
