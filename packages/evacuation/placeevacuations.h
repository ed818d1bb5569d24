#pragma once

#include "base/strong.h"

#include <set>

// Failure domains that the operators have asked to evacuate: until a request is withdrawn, no work is sent to minions
// there. The operators' topic holds the requests. The planner copies them into the journal, so that a node that cannot
// read the topic after its start knows them too; the copy counts only until that node has read the topic.

namespace Papaya
{

/** The requests to evacuate failure domains, as known to one node. */
class PlaceEvacuations
{
public:
    /** Replaces all requests by those that the operators' topic holds. */
    void reload(std::set<PlaceName> requested);
    /** Applies a request. */
    void request(const PlaceName &place);
    /** Applies a withdrawal. */
    void withdraw(const PlaceName &place);
    /** Applies the copy in the journal. */
    void setCopy(std::set<PlaceName> copy);

    /** @return the failure domains whose minions get no new work. */
    [[nodiscard]] const std::set<PlaceName> &inForce() const
    {
        return m_topicRead ? m_requested : m_copy;
    }
    /** @return true if the copy in the journal has to be replaced by inForce(). */
    [[nodiscard]] bool copyOutdated() const
    {
        return m_topicRead && m_requested != m_copy;
    }
    /** @return true if a failure domain has been evacuated since this node started. */
    [[nodiscard]] bool everRequested() const
    {
        return m_everRequested;
    }

private:
    void noteRequests();

    std::set<PlaceName> m_requested; ///< by the operators' topic
    std::set<PlaceName> m_copy;      ///< by the journal
    bool m_topicRead = false;
    bool m_everRequested = false;
};

} // namespace Papaya
