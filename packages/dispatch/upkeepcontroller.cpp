#include "dispatch/upkeepcontroller.h"

#include "connection/waiter.h"
#include "dispatch/boottime.h"
#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>

namespace Papaya
{

namespace
{

constexpr Millis PASS_INTERVAL {500};    // between passes; each reads the list of machines
constexpr Millis IDLE_INTERVAL {1'000};  // while no wave is open
constexpr Millis TAKEOVER_DELAY {4'000}; // above the 3 s that must pass between orders of two holders
constexpr Millis LIST_TIMEOUT {2'000};
constexpr Millis LIST_OUTAGE_LIMIT {5'000}; // without a list for longer, no machine is kept idle for its upkeep
constexpr Millis ORDER_TIMEOUT {2'000};

} // namespace

std::string_view toString(MachineOutcome outcome)
{
    constexpr std::array<std::string_view, 7> NAMES {"done",    "fenced",  "busy",     "other-wave",
                                                     "unknown", "refused", "no-answer"};
    return NAMES[static_cast<std::size_t>(outcome)];
}

UpkeepController::UpkeepController(Context context)
    : m_context(std::move(context))
{
}

void UpkeepController::begin(Context context)
{
    std::shared_ptr<UpkeepController> controller(new UpkeepController(std::move(context)));
    Asio::co_spawn(controller->m_context.io, run(controller), Asio::detached);
}

Asio::awaitable<void> UpkeepController::run(std::shared_ptr<UpkeepController> self)
{
    co_await sleepFor(TAKEOVER_DELAY);
    while (self->m_context.fleet->leading()) {
        const bool busy = self->hasWork();
        if (busy) {
            co_await self->runPass();
        }
        co_await sleepFor(busy ? PASS_INTERVAL : IDLE_INTERVAL);
    }
}

/**
 * @return true if there is a wave that this controller has not published as completed. A wave that a predecessor
 * completed is published again, in case the predecessor could not publish the status.
 */
bool UpkeepController::hasWork() const
{
    const auto &waves = m_context.waves();
    return std::any_of(waves.begin(), waves.end(), [this](const auto &item) {
        const auto published = m_published.find(item.first);
        return published == m_published.end() || published->second != WaveStatus::Completed;
    });
}

Asio::awaitable<void> UpkeepController::runPass()
{
    const std::int64_t sent = bootMillis();
    std::map<MachineId, MachineEntry> listed;
    std::string listError;
    try {
        for (MachineEntry &entry : co_await m_context.machines.list(LIST_TIMEOUT)) {
            const MachineId id = entry.id;
            listed.emplace(id, std::move(entry));
        }
    } catch (const MachineListError &error) {
        listError = error.what();
    }
    if (m_listFailing != !listError.empty()) {
        m_listFailing = !listError.empty();
        logEvent(m_listFailing ? LogLevel::Warning : LogLevel::Info,
                 m_listFailing ? "machines-lost" : "machines-regained", {{"error", listError}});
    }
    if (m_listFailing) {
        if (sent - m_lastListedMs > LIST_OUTAGE_LIMIT.count()) {
            releaseReservations();
        }
        co_return;
    }
    m_lastListedMs = sent;
    m_reserved.clear();
    const std::map<WaveNumber, UpkeepWave> waves = m_context.waves(); // copied: may change during a co_await
    for (const auto &[number, wave] : waves) {
        if (m_context.fleet->leading()) {
            co_await advance(wave, listed, sent);
        }
    }
    m_context.fleet->reserve(m_reserved);
}

void UpkeepController::releaseReservations()
{
    m_reserved.clear();
    m_reservedMs.clear();
    m_vacatedMs.clear();
    m_context.fleet->reserve(m_reserved);
}

WaveProgress UpkeepController::updatedProgress(const UpkeepWave &wave, const std::map<MachineId, MachineEntry> &listed,
                                               std::int64_t listedMs)
{
    WaveProgress progress;
    const auto known = m_context.jobTable.waves().find(wave.number);
    if (known != m_context.jobTable.waves().end()) {
        progress = known->second;
    } else {
        progress.number = wave.number;
        progress.firstSeenMs = m_context.wallNow();
    }
    for (const MachineId &machine : wave.machines) {
        progress.machines.try_emplace(machine, UpkeepState::Pending);
    }
    // Includes machines that an earlier request of the wave named.
    for (auto &[machine, state] : progress.machines) {
        const auto entry = listed.find(machine);
        const Order &lastOrder = m_orders[{wave.number, machine}];
        if (entry == listed.end()) {
            state = state == UpkeepState::Done ? state : UpkeepState::Removed;
        } else if (state == UpkeepState::Begun && lastOrder.confirmed && lastOrder.confirmedMs < listedMs
                   && entry->second.up) {
            state = UpkeepState::Done;
            m_context.fleet->setGoingDown(lastOrder.minion, false);
            logEvent(LogLevel::Info, "upkeep-done", {{"wave", wave.number.value()}, {"machine", machine.value()}});
        }
    }
    return progress;
}

UpkeepDecisions UpkeepController::decide(const UpkeepWave &wave, const WaveProgress &progress,
                                         const std::map<MachineId, MachineEntry> &listed)
{
    const std::int64_t now = bootMillis();
    std::uint32_t down = 0;
    std::vector<UpkeepCandidate> pending;
    for (const auto &[machine, state] : progress.machines) {
        down += state == UpkeepState::Begun ? 1 : 0;
        if (state != UpkeepState::Pending) {
            m_reservedMs.erase({wave.number, machine});
            m_vacatedMs.erase({wave.number, machine});
            continue;
        }
        const MachineEntry &entry = listed.at(machine);
        const MinionWorkload work = m_context.fleet->workloadOn(entry.minion);
        const auto since = [key = WaveMachine(wave.number, machine), now](const auto &times) {
            const auto found = times.find(key);
            return found == times.end() ? -1 : now - found->second;
        };
        pending.push_back(
            {machine, entry.up, work.overBudget, work.running, work.lossMs, since(m_reservedMs), since(m_vacatedMs)});
    }
    const std::int64_t elapsed = std::max<std::int64_t>(0, m_context.wallNow() - progress.firstSeenMs);
    return planUpkeep(wave.maximum, down, std::move(pending), wave.within.count() - elapsed);
}

Asio::awaitable<void> UpkeepController::advance(const UpkeepWave &wave, const std::map<MachineId, MachineEntry> &listed,
                                                std::int64_t listedMs)
{
    // 1. Updates the progress from the list of machines.
    const WaveProgress progress = updatedProgress(wave, listed, listedMs);
    const auto known = m_context.jobTable.waves().find(wave.number);
    const bool changed = known == m_context.jobTable.waves().end() || known->second.machines != progress.machines;
    if (changed || m_unstored.contains(wave.number)) {
        m_unstored.insert(wave.number);
        if (!co_await m_context.fleet->store(progress)) {
            co_return;
        }
        m_unstored.erase(wave.number);
    }
    if (progress.completed()) {
        publish(wave.number, WaveStatus::Completed);
        co_return;
    }
    publish(wave.number, WaveStatus::Running);
    // 2. Repeats unconfirmed orders, including those of a predecessor.
    for (const auto &[machine, state] : progress.machines) {
        if (state == UpkeepState::Begun && !m_orders[{wave.number, machine}].confirmed) {
            m_orders[{wave.number, machine}].inDoubt = true;
            co_await order(wave.number, listed.at(machine));
        }
    }
    // 3. Reserves the machines that come next, vacates them, and orders them down in turn.
    const UpkeepDecisions decisions = decide(wave, progress, listed);
    for (const MachineId &machine : decisions.reserve) {
        m_reservedMs.try_emplace({wave.number, machine}, bootMillis());
        m_reserved.insert(listed.at(machine).minion);
    }
    m_context.fleet->reserve(m_reserved);
    // Each vacated machine uses up part of the services' disruption budgets, so each is checked anew.
    for (const MachineId &machine : decisions.vacate) {
        const MinionId &minion = listed.at(machine).minion;
        if (!m_context.fleet->workloadOn(minion).overBudget) {
            m_vacatedMs.try_emplace({wave.number, machine}, bootMillis());
            m_context.fleet->vacate(minion);
        }
    }
    for (const MachineId &machine : decisions.begin) {
        if (!m_context.fleet->workloadOn(listed.at(machine).minion).overBudget) {
            co_await order(wave.number, listed.at(machine));
        }
    }
}

Asio::awaitable<void> UpkeepController::order(WaveNumber wave, MachineEntry machine)
{
    const auto known = m_context.jobTable.waves().find(wave);
    if (known == m_context.jobTable.waves().end() || !m_context.fleet->leading()) {
        co_return;
    }
    // 1. Journals the order before it is sent.
    WaveProgress progress = known->second;
    progress.machines[machine.id] = UpkeepState::Begun;
    if (!co_await m_context.fleet->store(progress) || !m_context.fleet->leading()) {
        co_return;
    }
    // 2. Sends the order; from now on the machine may be down.
    Order &lastOrder = m_orders[{wave, machine.id}];
    lastOrder.minion = machine.minion;
    m_context.fleet->setGoingDown(machine.minion, true);
    const MachineOutcome outcome =
        co_await m_context.machines.beginUpkeep(machine.id, wave, m_context.node, m_context.epoch, ORDER_TIMEOUT);
    logEvent(LogLevel::Info, "upkeep-ordered",
             {{"wave", wave.value()}, {"machine", machine.id.value()}, {"outcome", toString(outcome)}});
    switch (outcome) {
    case MachineOutcome::Done:
        lastOrder.confirmed = true;
        lastOrder.confirmedMs = bootMillis();
        co_return;
    case MachineOutcome::NoAnswer:
        lastOrder.inDoubt = true;
        co_return;
    case MachineOutcome::OtherWave:
    case MachineOutcome::Unknown:
        progress.machines[machine.id] = UpkeepState::Removed;
        break;
    default:
        if (lastOrder.inDoubt) {
            co_return; // an earlier order may have taken effect; counts as down until an order is confirmed
        }
        progress.machines[machine.id] = UpkeepState::Pending;
        break;
    }
    // 3. The order had no effect. If that cannot be stored, the machine counts as down until the order is repeated.
    if (!isDownForOther(wave, machine.id)) {
        m_context.fleet->setGoingDown(machine.minion, false);
    }
    m_unstored.insert(wave);
    if (co_await m_context.fleet->store(std::move(progress))) {
        m_unstored.erase(wave);
    }
}

bool UpkeepController::isDownForOther(WaveNumber wave, const MachineId &machine) const
{
    const auto &waves = m_context.jobTable.waves();
    return std::any_of(waves.begin(), waves.end(), [&](const auto &item) {
        const auto found = item.second.machines.find(machine);
        return item.first != wave && found != item.second.machines.end() && found->second == UpkeepState::Begun;
    });
}

void UpkeepController::publish(WaveNumber wave, WaveStatus status)
{
    const auto [published, isNew] = m_published.try_emplace(wave, status);
    if (!isNew && published->second == status) {
        return;
    }
    published->second = status;
    logEvent(LogLevel::Info, "wave-status",
             {{"wave", wave.value()}, {"state", status == WaveStatus::Completed ? "completed" : "running"}});
    std::vector<StoredRecord> records;
    records.push_back(m_context.codec.encodeWaveStatus(wave, status));
    m_context.status->append(std::move(records), TimePoint::max(), [](AppendOutcome outcome) {
        if (outcome != AppendOutcome::Stored) {
            logEvent(LogLevel::Warning, "wave-status-not-stored", {{"outcome", toString(outcome)}});
        }
    });
}

} // namespace Papaya
