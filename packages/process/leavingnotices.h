#pragma once

#include "base/strong.h"
#include "base/units.h"

#include <map>
#include <set>

// Which minions have announced that they are leaving. The host list lags behind, so a notice counts until the list must
// show the minion as leaving too, and instances tell each other of the notices that they know. Each instance that hears
// of a notice counts its time anew. A copy that arrives after the end of the own one is therefore ignored; otherwise
// the instances would renew each other's copies, and a minion that stays or returns under its id would get no work
// again.

namespace Papaya
{

/** Who has told this instance that a minion is leaving. */
enum class NoticeSource {
    Minion,
    Peer,
};

/** The leaving notices that this instance knows. */
class LeavingNotices
{
public:
    /** How long a notice counts. */
    static constexpr Millis VALIDITY {30'000};
    /** How long after its end copies of a notice are ignored, as peers may have heard of it later. */
    static constexpr Millis ECHO_TIME {60'000};

    /** @return true if the notice was added; false if the minion has one already or @p source repeats an ended one. */
    bool add(const MinionId &minion, NoticeSource source, TimePoint now);
    /** Ends the notices whose time is over. */
    void expire(TimePoint now);
    /** @return when the notices that have not ended do so, by minion. */
    [[nodiscard]] const std::map<MinionId, TimePoint> &active() const
    {
        return m_active;
    }
    /** @return the minions that have a notice. */
    [[nodiscard]] std::set<MinionId> minions() const;

private:
    std::map<MinionId, TimePoint> m_active;       ///< when each notice ends
    std::map<MinionId, TimePoint> m_ignoredUntil; ///< until when copies of ended notices are ignored
};

} // namespace Papaya
