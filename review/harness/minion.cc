// A minion of the platform as a process of its own. It follows PROTOCOL.md: it keeps the highest fence, runs tasks
// under a lease on its own steady clock, lists running tasks and ends, and registers itself in the store under its id.
// What it holds is gone when the process ends; a new process under the same id is a new life with a new "born".
//
// usage: minion ID LISTEN STORE RECORD KIND CHECKPOINTS HEALTH ADVERTISED
// KIND is the first of its labels. CHECKPOINTS is "plain" (a number) or "spaced" (words with spaces between them).
// HEALTH is "well", or "ill": then it answers 503 to every order to start a task and does nothing. ADVERTISED is the
// address in its entry.

#include "standins/standinserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <iostream>
#include <map>
#include <optional>

using namespace Papaya;
using Standins::Json;
using Standins::jsonAnswer;
using Standins::nowMs;

namespace
{

constexpr std::int64_t HOLD_MAX_MS = 10'000; // holdMaxMs
constexpr std::int64_t STOP_MS = 100;        // stopGraceMs is 200
constexpr std::int64_t SAVE_MS = 2'000;      // of work, between two checkpoints: checkpointS
constexpr std::int64_t GPUS = 8;             // what does not fit is refused
constexpr std::int64_t MAX_WAIT_MS = 2'000;
constexpr Millis HEARTBEAT {1'500}; // heartbeatMs
constexpr Millis TICK {5};

struct Run {
    std::uint32_t run = 0;
    std::int64_t workMs = 0;
    std::int64_t doneMs = 0;
    std::int64_t gpus = 0;
    std::optional<std::int64_t> stopAtMs;
};

struct End {
    std::uint64_t number = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string how;
    std::string saved;
};

class Minion : public Standins::StandinServer
{
public:
    Minion(Asio::io_context &io, std::vector<std::string> arguments)
        : m_pool(io)
        , m_id(arguments[0])
        , m_listen(Endpoint::parse(arguments[1]).value())
        , m_store(Endpoint::parse(arguments[2]).value())
        , m_record(::open(arguments[3].c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644))
        , m_kind(arguments[4])
        , m_spaced(arguments[5] == "spaced")
        , m_ill(arguments[6] == "ill")
        , m_advertised(arguments[7])
    {
        listen(io, m_listen);
        write("minion " + m_id + " is up, kind " + m_kind + ", born " + std::to_string(m_bornMs));
        Asio::co_spawn(io, heartbeats(*this), Asio::detached);
        Asio::co_spawn(io, advance(*this), Asio::detached);
    }

protected:
    Asio::awaitable<HttpResponse> serve(HttpRequest request) override
    {
        const std::string &target = request.fields.get("Papayahall-Target-Instance");
        if (!target.empty() && target != m_id) {
            co_return jsonAnswer(421, Json::object());
        }
        const Json body = Standins::bodyOf(request);
        const std::uint64_t fence = body.value("fence", std::uint64_t(0));
        if (fence < m_fence) {
            co_return refusal("fence");
        }
        m_fence = fence;
        if (request.path() == "/-/run-start") {
            if (m_ill) {
                write("refusal (503) of " + body.value("task", "") + " on " + m_id);
                co_return jsonAnswer(503, Json::object());
            }
            co_return start(body);
        }
        if (request.path() == "/-/run-stop") {
            co_return stop(body);
        }
        if (request.path() == "/-/hold") {
            co_return co_await hold(body);
        }
        co_return jsonAnswer(404, Json::object());
    }

    HttpResponse control(const HttpRequest & /*request*/) override
    {
        return jsonAnswer(404, Json::object());
    }

private:
    void write(const std::string &text) const
    {
        const std::string line = std::to_string(nowMs()) + " " + text + "\n";
        [[maybe_unused]] const auto written = ::write(m_record, line.data(), line.size());
    }

    /** The steady clock of this life, in milliseconds. */
    [[nodiscard]] std::int64_t clock() const
    {
        return std::chrono::duration_cast<Millis>(Clock::now() - m_begun).count();
    }

    [[nodiscard]] HttpResponse refusal(const std::string &reason) const
    {
        return jsonAnswer(409, {{"clockMs", clock()}, {"reason", reason}});
    }

    void renew(const Json &body)
    {
        if (body.contains("untilMs")) {
            m_untilMs = std::max(m_untilMs, std::min(body["untilMs"].get<std::int64_t>(), clock() + HOLD_MAX_MS));
        }
    }

    [[nodiscard]] std::string checkpointAt(std::int64_t doneMs) const
    {
        return m_spaced ? "epoch " + std::to_string(doneMs) + " of " + m_id : std::to_string(doneMs);
    }

    /** @return the last checkpoint of a run that goes on; empty before the first. */
    [[nodiscard]] std::string lastCheckpoint(const Run &run) const
    {
        const std::int64_t saved = run.doneMs / SAVE_MS * SAVE_MS;
        return saved == 0 ? "" : checkpointAt(saved);
    }

    /** @return the work that @p checkpoint stands for; none if it isn't one of a minion. */
    [[nodiscard]] static std::int64_t workAt(const std::string &checkpoint)
    {
        const std::size_t digit = checkpoint.find_first_of("0123456789");
        return digit == std::string::npos ? 0 : std::strtoll(checkpoint.c_str() + digit, nullptr, 10);
    }

    HttpResponse start(const Json &body)
    {
        const std::string task = body.at("task");
        const std::uint32_t run = body.at("run");
        const std::string checkpoint = body.value("checkpoint", "");
        const auto found = m_running.find(task);
        if (found != m_running.end() && found->second.run == run) {
            renew(body);
            return jsonAnswer(200, {{"clockMs", clock()}});
        }
        if (found != m_running.end() || (m_over.contains(task) && run <= m_over[task])) {
            renew(body);
            return refusal("old");
        }
        if (body.at("untilMs").get<std::int64_t>() < clock()) {
            return refusal("late");
        }
        renew(body);
        const Json spec = Json::parse(body.value("taskSpec", "{}"), nullptr, false);
        std::int64_t gpus = spec.value("gpu", std::int64_t(0));
        for (const auto &[other, placed] : m_running) {
            gpus += placed.gpus;
        }
        if (gpus > GPUS) {
            return refusal("room");
        }
        m_running[task] = {run, spec.value("workMs", std::int64_t(500)), workAt(checkpoint),
                           spec.value("gpu", std::int64_t(0)), std::nullopt};
        write("start " + task + " " + std::to_string(run) + " on " + m_id + " kind " + m_kind + " fence "
              + std::to_string(m_fence) + " checkpoint [" + checkpoint + "]");
        return jsonAnswer(200, {{"clockMs", clock()}});
    }

    HttpResponse stop(const Json &body)
    {
        const std::string task = body.at("task");
        const std::uint32_t run = body.at("run");
        const auto found = m_running.find(task);
        if (found != m_running.end() && found->second.run <= run) {
            found->second.stopAtMs = found->second.stopAtMs.value_or(clock() + STOP_MS);
        } else {
            m_over[task] = std::max(m_over[task], run);
        }
        return jsonAnswer(200, {{"clockMs", clock()}});
    }

    Asio::awaitable<HttpResponse> hold(Json body)
    {
        renew(body);
        const std::uint64_t seen = body.value("lastSeen", std::uint64_t(0));
        const std::int64_t wait = std::min(body.value("waitMs", std::int64_t(0)), MAX_WAIT_MS);
        const TimePoint deadline = Clock::now() + Millis(wait);
        for (const End &end : m_ends) {
            if (end.number <= seen) {
                write("seen " + end.task + " " + std::to_string(end.run) + " on " + m_id);
            }
        }
        std::erase_if(m_ends, [seen](const End &end) { return end.number <= seen; });
        while (m_ends.empty() && Clock::now() < deadline) {
            co_await sleepFor(TICK);
        }
        Json running = Json::array();
        for (const auto &[task, run] : m_running) {
            running.push_back({task, run.run, lastCheckpoint(run),
                               std::min<std::int64_t>(100, 100 * run.doneMs / run.workMs), 1'000});
        }
        Json ended = Json::array();
        for (const End &end : m_ends) {
            ended.push_back({end.number, end.task, end.run, end.how, end.saved});
        }
        co_return jsonAnswer(200,
                             {{"clockMs", clock()}, {"born", m_bornMs}, {"runningTasks", running}, {"ended", ended}});
    }

    static Asio::awaitable<void> advance(Minion &self)
    {
        std::int64_t last = self.clock();
        for (;;) {
            co_await sleepFor(TICK);
            const std::int64_t now = self.clock();
            std::vector<std::pair<std::string, std::string>> over;
            for (auto &[task, run] : self.m_running) {
                run.doneMs += now - last;
                if (now > self.m_untilMs) {
                    over.emplace_back(task, "lapsed");
                } else if (run.stopAtMs && now >= *run.stopAtMs) {
                    over.emplace_back(task, "stopped");
                } else if (run.doneMs >= run.workMs) {
                    over.emplace_back(task, "done");
                }
            }
            last = now;
            for (const auto &[task, how] : over) {
                const Run run = self.m_running.at(task);
                self.m_running.erase(task);
                self.m_over[task] = std::max(self.m_over[task], run.run);
                self.m_ends.push_back(
                    {++self.m_endCount, task, run.run, how, how == "done" ? "" : self.checkpointAt(run.doneMs)});
                self.write("end " + task + " " + std::to_string(run.run) + " on " + self.m_id + " " + how);
            }
        }
    }

    static Asio::awaitable<void> heartbeats(Minion &self)
    {
        bool registered = false;
        for (;;) {
            const Json entry = {{"service", "desk"},
                                {"address", self.m_advertised},
                                {"zone", "here"},
                                {"version", "v1"},
                                {"slots", 8},
                                {"state", "ready"},
                                {"coldRemainingMs", 0},
                                {"capacity", {{"cpu", 64'000}, {"memMb", 131'072}, {"gpu", 8}}},
                                {"labels", {self.m_kind, "r1"}},
                                {"born", self.m_bornMs},
                                {"clockMs", self.clock()},
                                {"sequence", ++self.m_sequence}};
            const std::string value = entry.dump();
            const std::size_t length = 1 + self.m_id.size() + value.size();
            HttpRequest request {"POST", "/-/log-append?topic=keyed.servers&part=0", {}, {}};
            for (int shift = 24; shift >= 0; shift -= 8) {
                request.body += static_cast<char>(length >> shift & 0xff);
            }
            request.body += static_cast<char>(self.m_id.size());
            request.body += self.m_id + value;
            try {
                co_await self.m_pool.exchange(self.m_store, std::move(request), Clock::now() + Millis(1'000));
                if (!registered) {
                    self.write("minion " + self.m_id + " is registered, born " + std::to_string(self.m_bornMs));
                }
                registered = true;
            } catch (const HttpError &) {
                registered = false; // the next heartbeat follows
            }
            co_await sleepFor(HEARTBEAT);
        }
    }

    HttpPool m_pool;
    std::string m_id;
    Endpoint m_listen;
    Endpoint m_store;
    int m_record;
    std::string m_kind;
    bool m_spaced;
    bool m_ill;
    std::string m_advertised;
    TimePoint m_begun = Clock::now();
    std::int64_t m_bornMs = nowMs();
    std::uint64_t m_sequence = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_untilMs = 0;
    std::uint64_t m_endCount = 0;
    std::map<std::string, Run> m_running;
    std::map<std::string, std::uint32_t> m_over; ///< highest run that was stopped or has ended here, by task
    std::vector<End> m_ends;
};

} // namespace

int main(int argc, char **argv)
{
    try {
        if (argc != 9) {
            throw std::runtime_error("usage: minion ID LISTEN STORE RECORD KIND CHECKPOINTS HEALTH ADVERTISED");
        }
        Asio::io_context io;
        Minion minion(io, std::vector<std::string>(argv + 1, argv + argc));
        io.run();
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
