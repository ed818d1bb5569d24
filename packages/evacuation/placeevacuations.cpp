#include "evacuation/placeevacuations.h"

#include <utility>

namespace Papaya
{

void PlaceEvacuations::reload(std::set<PlaceName> requested)
{
    m_topicRead = true;
    m_requested = std::move(requested);
    noteRequests();
}

void PlaceEvacuations::request(const PlaceName &place)
{
    m_requested.insert(place);
    noteRequests();
}

void PlaceEvacuations::withdraw(const PlaceName &place)
{
    m_requested.erase(place);
}

void PlaceEvacuations::setCopy(std::set<PlaceName> copy)
{
    m_copy = std::move(copy);
    noteRequests();
}

void PlaceEvacuations::noteRequests()
{
    m_everRequested = m_everRequested || !inForce().empty();
}

} // namespace Papaya
