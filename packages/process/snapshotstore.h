#pragma once

#include "connection/logservice.h"
#include "process/metrics.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

// Snapshots of the ledger, kept as chunks in a stream of their own. A snapshot counts only once all of its chunks are
// there and their digest is right, so a writer that dies half-way leaves nothing behind that could be mistaken for one.

namespace Papaya
{

/** A state and the journal offset up to which it covers. */
struct Snapshot {
    Offset next;       ///< first journal offset that is not covered
    std::string state; ///< CBOR
};

/** One chunk of a snapshot. */
struct SnapshotChunk {
    std::string id;
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    Offset next;
    std::string digest; ///< of the whole state
    std::string bytes;

    /** Parses the data of a record. */
    static Result<SnapshotChunk> fromText(std::string_view text);
    [[nodiscard]] std::string toText() const;
};

/** Cuts @p snapshot into chunks. */
std::vector<SnapshotChunk> toChunks(const Snapshot &snapshot, const std::string &id);

/** Puts chunks together again; incomplete and damaged snapshots are passed over. */
class SnapshotAssembler
{
public:
    /** Takes the next chunk of the stream. */
    void add(SnapshotChunk chunk);

    /** @return the newest complete snapshot, if there is one. */
    [[nodiscard]] const std::optional<Snapshot> &newest() const
    {
        return m_newest;
    }

private:
    std::vector<SnapshotChunk> m_pending; ///< chunks of the snapshots being read, a few writers at most
    std::optional<Snapshot> m_newest;
};

/** Reads the newest complete snapshot; nothing if there is none. @throws ReadError */
Asio::awaitable<std::optional<Snapshot>> readNewestSnapshot(LogService &log, Duration readTimeout);

/** Appends a snapshot. @throws AppendError */
Asio::awaitable<void> appendSnapshot(LogService &log, Snapshot snapshot, Duration appendTimeout);

} // namespace Papaya
