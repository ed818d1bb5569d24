#pragma once

#include "base/units.h"
#include "steps/jobrecord.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

// The store in which everything lies that must outlast a process: append-only topics whose records have keys, and which
// keep the newest record of each key for good.

namespace Papaya
{

namespace Asio = boost::asio;

/** The topics of the store; the system writes to its journal and to the status that the operator reads. */
enum class Topic { Journal, Config, Minions, Status };

/** Who appends. The store refuses a producer's appends of an earlier epoch, and repeats of a sequence change nothing.
 */
struct Producer {
    std::string name;
    Epoch epoch;
    std::uint64_t sequence = 0;
};

/** What became of an append. */
enum class AppendOutcome {
    Stored,
    NotStored, ///< nothing was done and nothing will be
    Unknown,   ///< it may have been done, or may still be
    Fenced,    ///< the producer's epoch has passed
    Conflict,  ///< the journal did not end where it was expected to
};

/** @return the name of @p outcome for logs. */
std::string_view toString(AppendOutcome outcome);

/** Records from an offset on. */
struct ReadResult {
    bool expired = false; ///< the records asked for are gone; the newest of each key must be read
    std::vector<StoredRecord> records;
};

/** The newest record of each key. */
struct NewestResult {
    std::vector<StoredRecord> records; ///< in the order in which they were written
    Offset end;                        ///< where to read on
};

/** The store could not be read. */
class StoreError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** Access to the store. */
class RecordStore
{
public:
    virtual ~RecordStore() = default;

    /**
     * Appends @p records to @p topic, all or none.
     * @param expectedEnd if given, only if the topic ends there, so that a late append has no effect
     */
    virtual Asio::awaitable<AppendOutcome> append(Topic topic, std::vector<StoredRecord> records,
                                                  std::optional<Producer> producer, std::optional<Offset> expectedEnd,
                                                  TimePoint deadline) = 0;
    /**
     * Reads on from @p from; waits up to @p wait for a record.
     * @throws StoreError
     */
    virtual Asio::awaitable<ReadResult> read(Topic topic, Offset from, Millis wait) = 0;
    /**
     * Reads the newest record of each key.
     * @throws StoreError
     */
    virtual Asio::awaitable<NewestResult> newest(Topic topic) = 0;
};

} // namespace Papaya
