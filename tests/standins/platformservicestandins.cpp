#include "standins/platformservicestandins.h"

#include "standins/platformminionstandin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace Papaya::Standins
{

namespace
{

/** @return the ticket without its last part, the time of expiry in milliseconds since the Unix epoch. */
std::string ticketPrefix(const std::string &step, const std::string &minion)
{
    return step + "@" + minion + "#";
}

HttpResponse noAnswer()
{
    HttpResponse response;
    response.status = 0;
    return response;
}

} // namespace

void PlatformOracleStandin::admit(std::set<std::string> minions)
{
    const std::lock_guard lock(m_mutex);
    m_admitted = std::move(minions);
}

void PlatformOracleStandin::refuse(const std::string &job)
{
    const std::lock_guard lock(m_mutex);
    m_refusedJobs.insert(job);
}

void PlatformOracleStandin::setDecisionTime(Millis time)
{
    const std::lock_guard lock(m_mutex);
    m_decisionTime = time;
}

void PlatformOracleStandin::setValidity(std::int64_t validMs)
{
    const std::lock_guard lock(m_mutex);
    m_validMs = validMs;
}

void PlatformOracleStandin::setFaults(bool busy, bool silent)
{
    const std::lock_guard lock(m_mutex);
    m_busy = busy;
    m_silent = silent;
}

bool PlatformOracleStandin::accepts(const std::string &step, const std::string &minion, const std::string &ticket) const
{
    const std::string name = ticketPrefix(step, minion);
    return ticket.starts_with(name) && std::stoll(ticket.substr(name.size())) >= nowMs();
}

std::size_t PlatformOracleStandin::calls() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

std::size_t PlatformOracleStandin::maxMinionsPerCall() const
{
    const std::lock_guard lock(m_mutex);
    return m_maxMinionsPerCall;
}

Asio::awaitable<HttpResponse> PlatformOracleStandin::serve(HttpRequest request)
{
    const Json body = bodyOf(request);
    Millis wait {0};
    {
        const std::lock_guard lock(m_mutex);
        m_freeAtMs = std::max(m_freeAtMs, nowMs()) + m_decisionTime.count();
        wait = Millis(m_freeAtMs - nowMs());
    }
    co_await sleepFor(wait);
    const std::lock_guard lock(m_mutex);
    if (m_silent) {
        co_return noAnswer();
    }
    if (m_busy) {
        co_return jsonAnswer(429, Json::object());
    }
    ++m_calls;
    m_maxMinionsPerCall = std::max(m_maxMinionsPerCall, body.at("workers").size());
    const std::string step = body.at("step");
    const bool refused = m_refusedJobs.contains(step.substr(0, step.find('.')));
    Json good = Json::array();
    for (const Json &worker : body.at("workers")) {
        const std::string id = worker;
        if (!refused && m_admitted.contains(id)) {
            good.push_back({id, ticketPrefix(step, id) + std::to_string(nowMs() + m_validMs)});
        }
    }
    co_return jsonAnswer(200, {{"good", good}, {"validMs", m_validMs}});
}

HttpResponse PlatformOracleStandin::control(const HttpRequest &)
{
    return jsonAnswer(404, Json::object());
}

void PlatformMachinesStandin::start(Asio::io_context &io, Millis upkeep)
{
    m_io = &io;
    m_upkeepTime = upkeep;
    listen(io, {"127.0.0.1", 0});
}

void PlatformMachinesStandin::add(PlatformMinionStandin &minion)
{
    const std::lock_guard lock(m_mutex);
    m_machines["m-" + minion.id()].minion = &minion;
}

void PlatformMachinesStandin::loseAnswers(std::int64_t count)
{
    const std::lock_guard lock(m_mutex);
    m_answersToLose = count;
}

void PlatformMachinesStandin::dropOrders(std::uint64_t wave, std::int64_t count)
{
    const std::lock_guard lock(m_mutex);
    m_ordersToDrop[wave] = count;
}

void PlatformMachinesStandin::setBusy(bool busy)
{
    const std::lock_guard lock(m_mutex);
    m_busy = busy;
}

std::vector<MachineOrder> PlatformMachinesStandin::orders() const
{
    const std::lock_guard lock(m_mutex);
    return m_orders;
}

Json PlatformMachinesStandin::list() const
{
    Json machines = Json::array();
    for (const auto &[name, machine] : m_machines) {
        machines.push_back({{"machine", name},
                            {"pool", "desk"},
                            {"state", machine.down ? "upkeep" : "up"},
                            {"zone", "here"},
                            {"labels", {"a", "r0"}},
                            {"id", machine.minion->id()}});
    }
    return {{"machines", machines}, {"nextToken", nullptr}};
}

HttpResponse PlatformMachinesStandin::upkeep(const HttpRequest &request, bool &lost)
{
    const Json body = bodyOf(request);
    const std::string name = body.at("machine");
    const auto found = m_machines.find(name);
    if (found == m_machines.end()) {
        return jsonAnswer(400, Json::object());
    }
    if (std::int64_t &drops = m_ordersToDrop[body.at("wave")]; drops > 0) {
        --drops;
        lost = true;
        return {};
    }
    Machine &machine = found->second;
    MachineOrder order;
    order.machine = name;
    order.wave = body.at("wave");
    order.holder = request.fields.get("Papayahall-Duty-Holder");
    order.fence = std::stoull(request.fields.get("Papayahall-Fencing-Token"));
    order.atMs = nowMs();
    order.alsoDown = static_cast<std::size_t>(
        std::count_if(m_machines.begin(), m_machines.end(), [](const auto &item) { return item.second.down; }));
    order.begun = !machine.waves.contains(order.wave);
    if (order.begun && machine.down) {
        return jsonAnswer(409, {{"reason", "busy"}});
    }
    m_orders.push_back(order);
    if (order.begun) {
        machine.waves.insert(order.wave);
        machine.down = true;
        machine.minion->powerOff();
        Asio::co_spawn(*m_io, finishUpkeep(*this, name), Asio::detached);
    }
    lost = m_answersToLose > 0;
    m_answersToLose -= lost ? 1 : 0;
    return jsonAnswer(200, Json::object());
}

Asio::awaitable<void> PlatformMachinesStandin::finishUpkeep(PlatformMachinesStandin &self, std::string machine)
{
    co_await sleepFor(self.m_upkeepTime);
    const std::lock_guard lock(self.m_mutex);
    self.m_machines.at(machine).down = false;
    self.m_machines.at(machine).minion->powerOn();
}

Asio::awaitable<HttpResponse> PlatformMachinesStandin::serve(HttpRequest request)
{
    const std::lock_guard lock(m_mutex);
    if (m_busy) {
        co_return jsonAnswer(503, Json::object());
    }
    if (request.path() == "/-/machines") {
        co_return jsonAnswer(200, list());
    }
    bool lost = false;
    HttpResponse response = upkeep(request, lost);
    co_return lost ? noAnswer() : std::move(response);
}

HttpResponse PlatformMachinesStandin::control(const HttpRequest &)
{
    return jsonAnswer(404, Json::object());
}

} // namespace Papaya::Standins
