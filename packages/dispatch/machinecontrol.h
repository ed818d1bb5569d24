#pragma once

#include "steps/upkeep.h"

#include <boost/asio/awaitable.hpp>

#include <stdexcept>
#include <string>
#include <vector>

// The platform's control of machines. An order names who gives it and under which fence; one that has no answer may
// have been carried out.

namespace Papaya
{

namespace Asio = boost::asio;

/** A machine as the platform lists it. */
struct MachineEntry {
    MachineId id;
    bool up = false; ///< its minion runs and it can be ordered
    MinionId minion; ///< its present life
};

/** What became of an order to a machine. */
enum class MachineOutcome {
    Done, ///< also if it had been carried out before
    Fenced,
    Busy, ///< not up, or about to leave; nothing was done
    OtherWave,
    Unknown, ///< there is no such machine
    Refused, ///< too many calls, or the platform is not available; nothing was done
    NoAnswer,
};

/** @return the name of @p outcome for logs. */
std::string_view toString(MachineOutcome outcome);

/** The machines could not be listed. */
class MachineListError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** Access to the machines. */
class MachineControl
{
public:
    virtual ~MachineControl() = default;
    /** @throws MachineListError */
    virtual Asio::awaitable<std::vector<MachineEntry>> list(Millis limit) = 0;
    /** Has @p machine go down for @p wave; everything on it ends at once. */
    virtual Asio::awaitable<MachineOutcome> beginUpkeep(MachineId machine, WaveNumber wave, std::string holder,
                                                        Epoch fence, Millis limit) = 0;
};

} // namespace Papaya
