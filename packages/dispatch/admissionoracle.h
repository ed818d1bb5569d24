#pragma once

#include "steps/ticketbook.h"

#include <boost/asio/awaitable.hpp>

#include <vector>

// The service that says which minions may run the steps of an advised queue.

namespace Papaya
{

namespace Asio = boost::asio;

/** The oracle's answer. */
struct Advice {
    bool answered = false; ///< false: too many calls wait there, or there was no answer
    std::vector<AdmissionTicket> admitted;
    Millis validFor {0}; ///< of the tickets, from the answer; 0 if it does not say
};

/** Access to the oracle; it handles one call of a node at a time. */
class AdmissionOracle
{
public:
    virtual ~AdmissionOracle() = default;
    virtual Asio::awaitable<Advice> advise(StepKey step, std::vector<MinionId> minions, Millis limit) = 0;
};

} // namespace Papaya
