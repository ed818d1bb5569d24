#pragma once

#include "connection/httpclient.h"
#include "connection/httpserver.h"
#include "dispatch/recordstore.h"

#include <functional>
#include <optional>
#include <vector>

// Lets a node have callers' records appended by another node: while the store does not answer it, or while the store is
// so slow that the appends of many nodes would queue up. The other node appends them together with its own.

namespace Papaya
{

/** The answer of the node that records were passed to. */
struct RelayAnswer {
    AppendOutcome outcome = AppendOutcome::NotStored; ///< Stored, NotStored or Unknown
    bool reached = false;                             ///< the node has answered
};

/** Passes records to another node. */
class JournalRelay
{
public:
    /** @param pool must outlive the relay */
    explicit JournalRelay(HttpPool &pool);

    /**
     * Passes @p records to the node that listens for peers at @p peer.
     * @return the outcome; Unknown also if there is no answer by @p deadline
     */
    Asio::awaitable<RelayAnswer> append(Endpoint peer, std::vector<StoredRecord> records, TimePoint deadline);

private:
    HttpPool &m_pool;
};

/** Appends the records of other nodes. */
class RelayReceiver : public HttpHandler
{
public:
    /** Appends submissions and cancellations. @return the outcome, by the deadline at the latest */
    using Append = std::function<Asio::awaitable<AppendOutcome>(std::vector<StoredRecord>, TimePoint deadline)>;

    explicit RelayReceiver(Append append);

    /** @return 200 if the records are stored, 503 if they are not and will not be, 504 if that is unknown */
    Asio::awaitable<HttpResponse> handle(HttpRequest request) override;

private:
    Append m_append;
};

/** @return the form in which records pass between nodes. */
std::string encodeRelayed(const std::vector<StoredRecord> &records);
/** @return the records in @p text; nothing if it is malformed or holds anything but submissions and cancellations */
std::optional<std::vector<StoredRecord>> decodeRelayed(std::string_view text);

} // namespace Papaya
