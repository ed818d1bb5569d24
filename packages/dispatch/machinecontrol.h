#pragma once

#include "steps/upkeep.h"

#include <boost/asio/awaitable.hpp>

#include <stdexcept>
#include <string>
#include <vector>

// The platform's control of machines. An order carries its sender and a fence. An unanswered order may have been
// carried out.

namespace Papaya
{

namespace Asio = boost::asio;

/** A machine, as listed by the platform. */
struct MachineEntry {
    MachineId id;
    bool up = false; ///< its minion is running and it accepts orders
    MinionId minion; ///< the current incarnation of its minion
};

/** The outcome of an order to a machine. */
enum class MachineOutcome {
    Done, ///< carried out now or before
    Fenced,
    Busy, ///< not up, or about to leave; no effect
    OtherWave,
    Unknown, ///< no such machine
    Refused, ///< too many calls, or the platform is unavailable; no effect
    NoAnswer,
};

/** @return the name of @p outcome for logs. */
std::string_view toString(MachineOutcome outcome);

/** Listing the machines has failed. */
class MachineListError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** Interface to the machines; @p timeout bounds each call. */
class MachineControl
{
public:
    virtual ~MachineControl() = default;
    /** @throws MachineListError */
    virtual Asio::awaitable<std::vector<MachineEntry>> list(Millis timeout) = 0;
    /** Orders @p machine down for @p wave, which ends everything on it at once. */
    virtual Asio::awaitable<MachineOutcome> beginUpkeep(MachineId machine, WaveNumber wave, std::string holder,
                                                        Epoch fence, Millis timeout) = 0;
};

} // namespace Papaya
