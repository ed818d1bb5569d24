#include "steps/storewatch.h"

namespace Papaya
{

namespace
{

constexpr std::uint32_t MIN_FAILURES = 2;
constexpr Millis MAX_OVERDUE {600}; // a store that is a hundred times slower than usual answers a read within 0.4 s
constexpr Millis SLOW_READ {60};

} // namespace

StoreHealth healthOf(const StoreEvidence &evidence)
{
    if (evidence.failures >= MIN_FAILURES || evidence.overdue > MAX_OVERDUE) {
        return StoreHealth::Lost;
    }
    return evidence.readDelay >= SLOW_READ || evidence.failures > 0 ? StoreHealth::Slow : StoreHealth::Answering;
}

RecordRoute routeRecord(const RecordSituation &situation)
{
    if (situation.store == StoreHealth::Answering) {
        return RecordRoute::Append;
    }
    if (situation.relayKnown && !situation.relayRefused) {
        return RecordRoute::Relay;
    }
    if (situation.store == StoreHealth::Slow) {
        return RecordRoute::Append;
    }
    return situation.mayRefuse || !situation.mayHold ? RecordRoute::Refuse : RecordRoute::Hold;
}

} // namespace Papaya
