#include "request/gangmachine.h"

#include <array>
#include <cstddef>

// The transition table has 25 rows, more than Boost.MPL (20) and Boost.Fusion allow by default. Their limits must be
// raised before the headers of Boost.MSM are included.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30
#define FUSION_MAX_VECTOR_SIZE 30
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace Papaya
{

namespace
{

namespace Front = boost::msm::front;
namespace Back = boost::msm::back;

template<GangEvent event>
struct EventType {
};

template<GangState state>
struct StateType : Front::state<> {
};

template<GangState from, GangEvent event, GangState to>
using Row = Front::Row<StateType<from>, EventType<event>, StateType<to>, Front::none, Front::none>;

using S = GangState;
using E = GangEvent;

// Boost.MSM prescribes the names of these members.
// NOLINTBEGIN(readability-identifier-naming)
template<GangState first>
struct Definition : Front::state_machine_def<Definition<first>> {
    using initial_state = StateType<first>;

    struct transition_table
        : boost::mpl::vector<
              Row<S::Placing, E::PlacedApplied, S::Preparing>, Row<S::Placing, E::Superseded, S::Ended>,
              // No part runs before the commit, so after a failed preparation only the leases are released.
              Row<S::Preparing, E::AllPrepared, S::Committing>, Row<S::Preparing, E::Failed, S::Stopping>,
              Row<S::Preparing, E::StopRequested, S::Stopping>, Row<S::Preparing, E::Superseded, S::Ended>,
              Row<S::Committing, E::CommitApplied, S::Starting>, Row<S::Committing, E::Failed, S::Stopping>,
              Row<S::Committing, E::StopRequested, S::Stopping>, Row<S::Committing, E::Superseded, S::Ended>,
              // Once committed, parts may be running, so failures and stop requests must stop all of them.
              Row<S::Starting, E::AllRunning, S::Confirming>, Row<S::Starting, E::Failed, S::Stopping>,
              Row<S::Starting, E::StopRequested, S::Stopping>, Row<S::Starting, E::Superseded, S::Ended>,
              Row<S::Confirming, E::StartApplied, S::Running>, Row<S::Confirming, E::Failed, S::Stopping>,
              Row<S::Confirming, E::Superseded, S::Ended>, Row<S::Running, E::AllSucceeded, S::Recording>,
              Row<S::Running, E::Failed, S::Stopping>, Row<S::Running, E::StopRequested, S::Stopping>,
              Row<S::Running, E::Superseded, S::Ended>, Row<S::Stopping, E::PartsStopped, S::Recording>,
              Row<S::Stopping, E::Superseded, S::Ended>, Row<S::Recording, E::EndApplied, S::Ended>,
              Row<S::Recording, E::Superseded, S::Ended>> {
    };

    template<class Machine, class Event>
    void no_transition(const Event & /*event*/, Machine & /*machine*/, int /*state*/)
    {
        // The event is ignored; the default of Boost.MSM is a failed assertion.
    }
};
// NOLINTEND(readability-identifier-naming)

constexpr std::array<const char *, 9> STATE_NAMES {"placing", "preparing", "committing", "starting", "confirming",
                                                   "running", "stopping",  "recording",  "ended"};

constexpr std::array<GangAction, 9> ACTIONS {
    GangAction::AppendPlaced, GangAction::PrepareParts,  GangAction::AppendCommitted,
    GangAction::StartParts,   GangAction::AppendStarted, GangAction::Monitor,
    GangAction::StopParts,    GangAction::AppendEnd,     GangAction::Finish};

} // namespace

/** Type-erased interface of the Boost.MSM machine. */
class GangMachine::Machine
{
public:
    virtual ~Machine() = default;
    virtual void process(GangEvent event) = 0;
    [[nodiscard]] virtual GangState state() const = 0;

    static std::unique_ptr<Machine> create(GangState state);
};

namespace
{

/** The Boost.MSM machine with the initial state @p first. */
template<GangState first, class Base>
class BoostMachine : public Base
{
public:
    BoostMachine()
    {
        m_machine.start();
    }

    void process(GangEvent event) override
    {
        dispatch<GangEvent::PlacedApplied, GangEvent::AllPrepared, GangEvent::CommitApplied, GangEvent::AllRunning,
                 GangEvent::StartApplied, GangEvent::AllSucceeded, GangEvent::Failed, GangEvent::StopRequested,
                 GangEvent::PartsStopped, GangEvent::EndApplied, GangEvent::Superseded>(event);
    }

    [[nodiscard]] GangState state() const override
    {
        return find<GangState::Placing, GangState::Preparing, GangState::Committing, GangState::Starting,
                    GangState::Confirming, GangState::Running, GangState::Stopping, GangState::Recording,
                    GangState::Ended>();
    }

private:
    using Backend = Back::state_machine<Definition<first>>;

    template<GangEvent... events>
    void dispatch(GangEvent event)
    {
        ((event == events ? static_cast<void>(m_machine.process_event(EventType<events> {})) : void()), ...);
    }

    template<GangState... states>
    [[nodiscard]] GangState find() const
    {
        const int current = m_machine.current_state()[0];
        GangState result = GangState::Ended;
        ((Back::get_state_id<typename Backend::stt, StateType<states>>::value == current
              ? static_cast<void>(result = states)
              : void()),
         ...);
        return result;
    }

    Backend m_machine;
};

} // namespace

std::unique_ptr<GangMachine::Machine> GangMachine::Machine::create(GangState state)
{
    switch (state) {
    case GangState::Placing:
        return std::make_unique<BoostMachine<GangState::Placing, Machine>>();
    case GangState::Starting:
        return std::make_unique<BoostMachine<GangState::Starting, Machine>>();
    case GangState::Running:
        return std::make_unique<BoostMachine<GangState::Running, Machine>>();
    default:
        return std::make_unique<BoostMachine<GangState::Stopping, Machine>>();
    }
}

GangMachine::GangMachine(GangState state)
    : m_machine(Machine::create(state))
{
}

GangMachine::~GangMachine() = default;

GangAction GangMachine::process(GangEvent event)
{
    m_machine->process(event);
    return action();
}

GangState GangMachine::state() const
{
    return m_machine->state();
}

GangAction GangMachine::action() const
{
    return ACTIONS[static_cast<std::size_t>(state())];
}

const char *toString(GangState state)
{
    return STATE_NAMES[static_cast<std::size_t>(state)];
}

} // namespace Papaya
