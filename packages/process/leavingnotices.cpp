#include "process/leavingnotices.h"

namespace Papaya
{

bool LeavingNotices::add(const MinionId &minion, NoticeSource source, TimePoint now)
{
    expire(now);
    if (source == NoticeSource::Peer && m_ignoredUntil.contains(minion)) {
        return false;
    }
    return m_active.emplace(minion, now + VALIDITY).second;
}

void LeavingNotices::expire(TimePoint now)
{
    for (auto notice = m_active.begin(); notice != m_active.end();) {
        if (notice->second > now) {
            ++notice;
            continue;
        }
        m_ignoredUntil[notice->first] = notice->second + ECHO_TIME;
        notice = m_active.erase(notice);
    }
    std::erase_if(m_ignoredUntil, [now](const auto &ended) { return ended.second <= now; });
}

std::set<MinionId> LeavingNotices::minions() const
{
    std::set<MinionId> ids;
    for (const auto &[id, until] : m_active) {
        ids.insert(id);
    }
    return ids;
}

} // namespace Papaya
