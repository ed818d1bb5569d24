#pragma once

#include "base/units.h"
#include "steps/jobrecord.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

// The durable store: append-only topics of keyed records. A topic keeps the newest record of each key indefinitely;
// older records expire.

namespace Papaya
{

namespace Asio = boost::asio;

/** The topics of the store. The system writes to Journal and to Status, which the operator reads. */
enum class Topic { Journal, Config, Minions, Status };

/** Identity of a writer. The store refuses appends of an earlier epoch, and ignores a sequence that it already has. */
struct Producer {
    std::string name;
    Epoch epoch;
    std::uint64_t sequence = 0;
};

/** The outcome of an append. */
enum class AppendOutcome {
    Stored,
    NotStored, ///< had no effect and will have none
    Unknown,   ///< may have been stored, or may be later
    Fenced,    ///< a later epoch of the producer has appended
    Conflict,  ///< the topic does not end at the expected offset
};

/** @return the name of @p outcome for logs. */
std::string_view toString(AppendOutcome outcome);

/** Limits of the store on one append, in bytes of records in stored form. */
struct StoreLimits {
    std::size_t recordBytes = 0; ///< of one record
    std::size_t callBytes = 0;   ///< of all records of one append
};

/** @return an upper bound of the size that a store counts for @p record. */
inline std::size_t storedBytes(const StoredRecord &record)
{
    constexpr std::size_t FRAME_BYTES = 8; // lengths of the record and its key
    return FRAME_BYTES + record.key.size() + record.value.size();
}

/** The records read from an offset. */
struct ReadResult {
    bool expired = false; ///< the records have expired; the newest of each key must be read instead
    Offset end;           ///< end of the topic when it was read; later than the records if they are not the last
    std::vector<StoredRecord> records;
};

/** The newest record of each key. */
struct NewestResult {
    std::vector<StoredRecord> records; ///< in the order of their offsets
    Offset end;                        ///< offset from which to continue reading
    std::int64_t answeredMs = 0;       ///< when the store began to answer, in bootMillis(); the end is older
};

/** A read from the store has failed. */
class StoreError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** Interface to the store. */
class RecordStore
{
public:
    virtual ~RecordStore() = default;

    /** @return the limits above which the store refuses an append however often it is repeated. */
    [[nodiscard]] virtual StoreLimits limits() const = 0;

    /**
     * Appends @p records to @p topic atomically.
     * @param expectedEnd if given, appends only if the topic ends there, so that a delayed append has no effect
     */
    virtual Asio::awaitable<AppendOutcome> append(Topic topic, std::vector<StoredRecord> records,
                                                  std::optional<Producer> producer, std::optional<Offset> expectedEnd,
                                                  TimePoint deadline) = 0;
    /**
     * Reads records from offset @p from; waits up to @p wait for the first.
     * @param maxKb limit of the records' total size, in KB; a larger record may not be returned
     * @throws StoreError
     */
    virtual Asio::awaitable<ReadResult> read(Topic topic, Offset from, Millis wait, std::size_t maxKb) = 0;
    /**
     * Reads the newest record of each key.
     * @throws StoreError
     */
    virtual Asio::awaitable<NewestResult> newest(Topic topic) = 0;
    /**
     * Finds out at little cost whether the store answers calls on @p topic.
     * @throws StoreError if it does not within @p timeout, or rejects calls for now
     */
    virtual Asio::awaitable<void> probe(Topic topic, Millis timeout) = 0;
};

} // namespace Papaya
