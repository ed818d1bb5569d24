#pragma once

#include "steps/ticketbook.h"

#include <boost/asio/awaitable.hpp>

#include <vector>

// The admission oracle: an external service that decides on which minions the steps of a queue may run.

namespace Papaya
{

namespace Asio = boost::asio;

/** The answer of the oracle to a query. */
struct OracleAnswer {
    bool answered = false; ///< false if the oracle was overloaded or did not answer
    std::vector<AdmissionTicket> admitted;
    Millis validFor {0}; ///< validity of the tickets; 0 if the oracle gives none
};

/** Interface to the oracle, which handles one call per node at a time. */
class AdmissionOracle
{
public:
    virtual ~AdmissionOracle() = default;
    virtual Asio::awaitable<OracleAnswer> query(StepKey step, std::vector<MinionId> minions, Millis timeout) = 0;
};

} // namespace Papaya
