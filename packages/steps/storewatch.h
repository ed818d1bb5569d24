#pragma once

#include "base/units.h"

#include <cstdint>

// Judges the store by a node's own reads, and decides what happens to a caller's record while the store is slow or
// unreachable. The probes are the reads that the node makes anyway; no caller's record is sent to find out whether the
// store is back. Load patterns:
//
// - The store is down for seconds while callers keep submitting. Records that are sent into the outage end in doubt and
//   use up the time of their callers. A record that was not sent can be refused truthfully or wait for the store.
// - The store turns away or cannot be reached by some nodes only. Another node can still store their records.
// - The store answers a hundred times slower. It appends one batch at a time, so that the batches of many nodes queue
//   up behind each other; one node that appends for all keeps the queue short.

namespace Papaya
{

/** The store, as seen by one node. */
enum class StoreHealth {
    Answering,
    Slow, ///< answers, but appends of many nodes would queue up
    Lost, ///< does not answer this node
};

/** What a node knows of the store from following the journal. */
struct StoreEvidence {
    std::uint32_t failures = 0; ///< reads that have failed since the last that succeeded
    Millis overdue {0};         ///< time for which an answer to a read has been due
    Millis readDelay {0};       ///< shortest of the last few reads
};

/** @return the health of the store. One failed read, such as on a connection that was reset, does not count. */
StoreHealth healthOf(const StoreEvidence &evidence);

/** What to do with a caller's record next. */
enum class RecordRoute {
    Append, ///< append it to the journal
    Relay,  ///< pass it to another node, which appends it
    Hold,   ///< keep it unsent and look again soon
    Refuse, ///< tell the caller that it is not stored and will not be
};

/** Input of routeRecord(). */
struct RecordSituation {
    StoreHealth store = StoreHealth::Answering;
    bool relayKnown = false;   ///< there is another node that may append the record
    bool relayRefused = false; ///< that node has refused the record or could not be reached
    bool mayRefuse = false;    ///< no attempt to store the record can have been made at any node
    bool mayHold = false;      ///< there is time left to wait for the store
};

/**
 * @return what to do next. While the store is lost, a record that no node has sent is refused at once, so that its
 * caller knows and can come back; any other is held, since nobody can tell whether it was stored.
 */
RecordRoute routeRecord(const RecordSituation &situation);

} // namespace Papaya
