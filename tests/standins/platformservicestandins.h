#pragma once

#include "standins/standinserver.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

// Stand-ins of the platform's services beside its store and minions: the admission oracle and the control of machines.

namespace Papaya::Standins
{

/** The admission oracle: admits steps on a set of minions, with tickets that expire. */
class PlatformOracleStandin : public StandinServer
{
public:
    /** Admits every step on just these minions. */
    void admit(std::set<std::string> minions);
    void setValidity(std::int64_t validMs);
    /** Answers 429 to every call, or none at all, until told otherwise. */
    void setFaults(bool busy, bool silent);
    /** @return true if @p ticket is good for a start of a task of @p step on @p minion now. */
    [[nodiscard]] bool accepts(const std::string &step, const std::string &minion, const std::string &ticket) const;
    /** @return calls that were answered. */
    [[nodiscard]] std::size_t calls() const;
    /** @return the most minions that one call asked about. */
    [[nodiscard]] std::size_t maxMinionsPerCall() const;

protected:
    Asio::awaitable<HttpResponse> serve(HttpRequest request) override;
    HttpResponse control(const HttpRequest &request) override;

private:
    mutable std::mutex m_mutex;
    std::set<std::string> m_admitted;
    std::int64_t m_validMs = 3'000;
    bool m_busy = false;
    bool m_silent = false;
    std::size_t m_calls = 0;
    std::size_t m_maxMinionsPerCall = 0;
};

/** An order to a machine, as the platform took it. */
struct MachineOrder {
    std::string machine;
    std::uint64_t wave = 0;
    std::string holder;
    std::uint64_t fence = 0;
    std::int64_t atMs = 0;    ///< milliseconds since 1970
    bool begun = false;       ///< the machine went down for it; false for a repeat
    std::size_t alsoDown = 0; ///< other machines that were down then
};

/** The control of machines; each minion has one, named "m-" and the minion's id. */
class PlatformMachinesStandin : public StandinServer
{
public:
    /** @param upkeep how long a machine is down */
    void start(Asio::io_context &io, Millis upkeep);
    void add(class PlatformMinionStandin &minion);
    /** So many orders are carried out without an answer. */
    void loseAnswers(std::int64_t count);
    /** Answers 503 to every call until told otherwise. */
    void setBusy(bool busy);
    [[nodiscard]] std::vector<MachineOrder> orders() const;

protected:
    Asio::awaitable<HttpResponse> serve(HttpRequest request) override;
    HttpResponse control(const HttpRequest &request) override;

private:
    struct Machine {
        class PlatformMinionStandin *minion = nullptr;
        bool down = false;
        std::set<std::uint64_t> waves; ///< that it has had
    };

    Json list() const;
    HttpResponse upkeep(const HttpRequest &request, bool &lost);
    static Asio::awaitable<void> finishUpkeep(PlatformMachinesStandin &self, std::string machine);

    mutable std::mutex m_mutex;
    Asio::io_context *m_io = nullptr;
    Millis m_upkeepTime {300};
    std::map<std::string, Machine> m_machines;
    std::vector<MachineOrder> m_orders;
    std::int64_t m_answersToLose = 0;
    bool m_busy = false;
};

} // namespace Papaya::Standins
