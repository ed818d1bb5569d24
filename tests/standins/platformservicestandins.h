#pragma once

#include "standins/standinserver.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

// Stand-ins for two services of the users' platform: the admission oracle and machine control.

namespace Papaya::Standins
{

/** The admission oracle. Admits every step on a set of minions and issues tickets that expire. */
class PlatformOracleStandin : public StandinServer
{
public:
    /** Admits every step on @p minions and on no others. */
    void admit(std::set<std::string> minions);
    /** Admits the steps of @p job nowhere. */
    void refuse(const std::string &job);
    /** Sets the time that a decision takes; one is made at a time. */
    void setDecisionTime(Millis time);
    /** Sets the validity of new tickets, in milliseconds. */
    void setValidity(std::int64_t validMs);
    /** Answers every call with 429 while @p busy; answers no call while @p silent, which takes precedence. */
    void setFaults(bool busy, bool silent);
    /** @return true if @p ticket currently permits starting a task of @p step on @p minion. */
    [[nodiscard]] bool accepts(const std::string &step, const std::string &minion, const std::string &ticket) const;
    /** @return the number of calls that were answered with a decision. */
    [[nodiscard]] std::size_t calls() const;
    /** @return the largest number of minions in one call. */
    [[nodiscard]] std::size_t maxMinionsPerCall() const;

protected:
    Asio::awaitable<HttpResponse> serve(HttpRequest request) override;
    HttpResponse control(const HttpRequest &request) override;

private:
    mutable std::mutex m_mutex;
    std::set<std::string> m_admitted;
    std::set<std::string> m_refusedJobs;
    Millis m_decisionTime {20};
    std::int64_t m_freeAtMs = 0; ///< when the calls so far will have been decided
    std::int64_t m_validMs = 3'000;
    bool m_busy = false;
    bool m_silent = false;
    std::size_t m_calls = 0;
    std::size_t m_maxMinionsPerCall = 0;
};

/** An upkeep order that machine control accepted. */
struct MachineOrder {
    std::string machine;
    std::uint64_t wave = 0;
    std::string holder;
    std::uint64_t fence = 0;
    std::int64_t atMs = 0;    ///< milliseconds since the Unix epoch
    bool begun = false;       ///< whether the order took the machine down; false for a repeated order
    std::size_t alsoDown = 0; ///< other machines that were down at that time
};

/** Machine control. Each minion has a machine of its own, named "m-" followed by the minion's id. */
class PlatformMachinesStandin : public StandinServer
{
public:
    /** Starts to serve. @param upkeep time for which an order takes a machine down */
    void start(Asio::io_context &io, Millis upkeep);
    /** Adds the machine of @p minion. */
    void add(class PlatformMinionStandin &minion);
    /** The next @p count orders are carried out but get no answer. */
    void loseAnswers(std::int64_t count);
    /** The next @p count orders of @p wave get no answer and have no effect. */
    void dropOrders(std::uint64_t wave, std::int64_t count);
    /** While @p busy, answers every call with 503. */
    void setBusy(bool busy);
    [[nodiscard]] std::vector<MachineOrder> orders() const;

protected:
    Asio::awaitable<HttpResponse> serve(HttpRequest request) override;
    HttpResponse control(const HttpRequest &request) override;

private:
    struct Machine {
        class PlatformMinionStandin *minion = nullptr;
        bool down = false;
        std::set<std::uint64_t> waves; ///< waves whose order the machine has carried out
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
    std::map<std::uint64_t, std::int64_t> m_ordersToDrop; ///< by wave
    bool m_busy = false;
};

} // namespace Papaya::Standins
