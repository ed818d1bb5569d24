#include "process/snapshotstore.h"

#include "base/codec.h"
#include "base/digest.h"
#include "base/objectreader.h"
#include "connection/waiter.h"

#include <algorithm>

namespace Papaya
{

namespace
{

using Json = nlohmann::json;

constexpr const char *STREAM = "snapshots";
constexpr std::size_t CHUNK_BYTES = 192UL * 1024;
constexpr std::size_t MAX_PENDING_CHUNKS = 1024;
constexpr std::size_t ID_BYTES = 8;
constexpr std::size_t PAGE_RECORDS = 8;
constexpr Millis APPEND_INTERVAL {50}; // leaves part of the service's rate limit to other streams

} // namespace

Result<SnapshotChunk> SnapshotChunk::fromText(std::string_view text)
{
    const auto bytes = fromBase64(text);
    if (!bytes) {
        return bytes.errors();
    }
    const auto document = parseCbor(*bytes);
    if (!document) {
        return document.errors();
    }
    Errors errors;
    ObjectReader reader(*document, "", errors);
    SnapshotChunk chunk;
    chunk.id = reader.text("id", Presence::Required).value_or("");
    chunk.count =
        static_cast<std::uint32_t>(reader.integer("count", 1, MAX_PENDING_CHUNKS, Presence::Required).value_or(1));
    chunk.index =
        static_cast<std::uint32_t>(reader.integer("index", 0, chunk.count - 1, Presence::Required).value_or(0));
    chunk.next =
        Offset(static_cast<std::uint64_t>(reader.integer("next", 0, INT64_MAX, Presence::Required).value_or(0)));
    chunk.digest = reader.text("digest", Presence::Required).value_or("");
    const auto data = document->is_object() ? document->find("data") : document->end();
    if (data == document->end() || !data->is_binary()) {
        errors.push_back({"wrong-type", "must be a byte string", "data"});
        return errors;
    }
    if (!errors.empty()) {
        return errors;
    }
    chunk.bytes.assign(data->get_binary().begin(), data->get_binary().end());
    return chunk;
}

std::string SnapshotChunk::toText() const
{
    const std::vector<std::uint8_t> data(bytes.begin(), bytes.end());
    return toBase64(toCbor({{"id", id},
                            {"index", index},
                            {"count", count},
                            {"next", next.value()},
                            {"digest", digest},
                            {"data", Json::binary(data)}}));
}

std::vector<SnapshotChunk> toChunks(const Snapshot &snapshot, const std::string &id)
{
    std::vector<SnapshotChunk> chunks;
    const std::string digest = sha256Hex(snapshot.state);
    const auto count = static_cast<std::uint32_t>((snapshot.state.size() + CHUNK_BYTES - 1) / CHUNK_BYTES);
    for (std::uint32_t i = 0; i < std::max(count, 1U); ++i) {
        chunks.push_back(
            {id, i, std::max(count, 1U), snapshot.next, digest, snapshot.state.substr(i * CHUNK_BYTES, CHUNK_BYTES)});
    }
    return chunks;
}

void SnapshotAssembler::add(SnapshotChunk chunk)
{
    const std::string id = chunk.id;
    const std::uint32_t count = chunk.count;
    const auto isDuplicate = [&](const SnapshotChunk &pending) {
        return pending.id == id && pending.index == chunk.index;
    };
    if (std::any_of(m_pending.begin(), m_pending.end(), isDuplicate)) {
        return; // the append was repeated
    }
    m_pending.push_back(std::move(chunk));
    std::vector<const SnapshotChunk *> parts;
    for (const SnapshotChunk &pending : m_pending) {
        if (pending.id == id && pending.count == count) {
            parts.push_back(&pending);
        }
    }
    if (parts.size() < count) {
        if (m_pending.size() > MAX_PENDING_CHUNKS) {
            m_pending.erase(m_pending.begin());
        }
        return;
    }
    std::sort(parts.begin(), parts.end(), [](const auto *a, const auto *b) { return a->index < b->index; });
    Snapshot snapshot;
    snapshot.next = parts.front()->next;
    for (const SnapshotChunk *part : parts) {
        snapshot.state += part->bytes;
    }
    const bool intact = sha256Hex(snapshot.state) == parts.front()->digest;
    if (intact && (!m_newest || snapshot.next >= m_newest->next)) {
        m_newest = std::move(snapshot);
    }
    std::erase_if(m_pending, [&](const SnapshotChunk &pending) { return pending.id == id; });
}

Asio::awaitable<std::optional<Snapshot>> readNewestSnapshot(LogService &log, Duration readTimeout)
{
    SnapshotAssembler assembler;
    Offset from(0);
    while (true) {
        std::optional<Offset> agedOut;
        try {
            const LogPage page = co_await log.read(STREAM, from, PAGE_RECORDS, Millis(0), Clock::now() + readTimeout);
            for (const LogRecord &record : page.records) {
                if (auto chunk = SnapshotChunk::fromText(record.data)) {
                    assembler.add(std::move(*chunk));
                }
                from = Offset(record.offset.value() + 1);
            }
            if (page.records.empty() || from >= page.end) {
                co_return assembler.newest();
            }
        } catch (const RecordsExpiredError &error) {
            agedOut = error.start();
        }
        if (agedOut) {
            from = *agedOut;
        }
    }
}

Asio::awaitable<void> appendSnapshot(LogService &log, Snapshot snapshot, Duration appendTimeout)
{
    for (const SnapshotChunk &chunk : toChunks(snapshot, randomHex(ID_BYTES))) {
        std::vector<std::string> records;
        records.push_back(chunk.toText());
        co_await log.append(STREAM, std::move(records), Clock::now() + appendTimeout);
        co_await sleepFor(APPEND_INTERVAL);
    }
}

} // namespace Papaya
