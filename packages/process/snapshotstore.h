#pragma once

#include "connection/logservice.h"
#include "process/metrics.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

// Snapshots of the ledger, stored as chunks in a separate stream. A snapshot is valid only if all of its chunks are
// present and their digest matches, so the chunks of a writer that fails midway are never taken for a snapshot.

namespace Papaya
{

/** A state of the ledger and the journal offset up to which it includes the records. */
struct Snapshot {
    Offset next;       ///< first journal offset that the state does not include
    std::string state; ///< CBOR
};

/** One chunk of a snapshot. */
struct SnapshotChunk {
    std::string id; ///< of the snapshot
    std::uint32_t index = 0;
    std::uint32_t count = 0; ///< chunks of the snapshot
    Offset next;
    std::string digest; ///< of the complete state
    std::string bytes;

    /** Parses the data of a record. @return the chunk, or typed errors if @p text is not one */
    static Result<SnapshotChunk> fromText(std::string_view text);
    [[nodiscard]] std::string toText() const;
};

/** Splits @p snapshot into chunks with the snapshot id @p id. */
std::vector<SnapshotChunk> toChunks(const Snapshot &snapshot, const std::string &id);

/** Assembles snapshots from chunks; incomplete and corrupt ones are skipped. */
class SnapshotAssembler
{
public:
    /** Adds the next chunk of the stream; duplicates are ignored. */
    void add(SnapshotChunk chunk);

    /** @return the complete snapshot with the highest offset so far, if there is one. */
    [[nodiscard]] const std::optional<Snapshot> &newest() const
    {
        return m_newest;
    }

private:
    std::vector<SnapshotChunk> m_pending; ///< chunks of incomplete snapshots, which a few writers may interleave
    std::optional<Snapshot> m_newest;
};

/**
 * Reads the newest complete snapshot.
 * @param readTimeout limit for each read of the log service
 * @return the snapshot, or nothing if there is none
 * @throws ReadError
 */
Asio::awaitable<std::optional<Snapshot>> readNewestSnapshot(LogService &log, Duration readTimeout);

/**
 * Appends a snapshot.
 * @param appendTimeout limit for each append to the log service
 * @throws AppendError
 */
Asio::awaitable<void> appendSnapshot(LogService &log, Snapshot snapshot, Duration appendTimeout);

} // namespace Papaya
