#include "signature.h"

#include "base/digest.h"
#include "day.h"
#include "process/guaranteescheduling.h"
#include "request/admission.h"
#include "request/minionchoice.h"
#include "stepscenario.h"

#include <random>
#include <string>

namespace Papaya::Bench
{

namespace
{

constexpr std::uint64_t SEED = 20261204;

/** Running hash of texts. */
class Digest
{
public:
    void add(const std::string &text)
    {
        m_value = stableHash(text, m_value);
    }
    [[nodiscard]] std::uint64_t value() const
    {
        return m_value;
    }

private:
    std::uint64_t m_value = SEED;
};

/** Adds the admission decisions for three teams that together need twice the capacity of the slots. */
void admissionScenario(Digest &digest)
{
    FairAdmission admission;
    AdmissionSetup setup;
    setup.slots = 16;
    setup.teams[TeamName("guaranteed")] = {1, 6, {100, 40, 10}};
    setup.teams[TeamName("heavy")] = {1, 0, {100, 40, 10}};
    setup.teams[TeamName("light")] = {3, 0, {100, 40, 10}};
    admission.configure(setup);
    std::mt19937_64 random(SEED);
    const std::array<const char *, 3> teams {"guaranteed", "heavy", "light"};
    TimePoint now {};
    std::vector<std::pair<TimePoint, TicketId>> running;
    for (std::uint64_t i = 1; i <= 4'000; ++i) {
        now += std::chrono::microseconds(random() % 2'000);
        while (!running.empty() && running.front().first <= now) {
            admission.finish(running.front().second);
            running.erase(running.begin());
        }
        Ticket ticket;
        ticket.id = TicketId(i);
        ticket.team = TeamName(teams[random() % 3]);
        ticket.caller = CallerName("caller-" + std::to_string(random() % 5));
        ticket.urgency = static_cast<Urgency>(random() % URGENCY_COUNT);
        ticket.deadline = now + Millis(50 + random() % 400);
        ticket.expectedServiceTime = Millis(30);
        ticket.serviceTimeBound = Millis(30);
        const EnqueueResult result = admission.enqueue(ticket, now);
        digest.add(result.refusal ? refusalInfo(*result.refusal).code : "queued");
        while (const auto next = admission.next(now)) {
            digest.add(std::to_string(next->id.value()) + (next->refusal ? refusalInfo(*next->refusal).code : ""));
            if (!next->refusal) {
                running.emplace_back(now + Millis(30), next->id);
            }
        }
    }
}

/** Adds the choices of minions for runs, some of which fail on bad minions. */
void minionScenario(Digest &digest)
{
    MinionSet minions(std::make_unique<HomeMinion>(), SEED);
    constexpr std::size_t MINIONS = 20;
    std::vector<MinionInfo> infos;
    infos.reserve(MINIONS);
    for (std::size_t i = 0; i < MINIONS; ++i) {
        infos.push_back({MinionId("minion-" + std::to_string(i)), 8, 64});
    }
    minions.update(infos, {InstanceId("entry-1"), InstanceId("entry-2"), InstanceId("entry-3")}, InstanceId("entry-1"));
    std::mt19937_64 random(SEED);
    TimePoint now {};
    std::vector<MinionId> running;
    for (int i = 0; i < 4'000; ++i) {
        now += Millis(random() % 5);
        if (const auto chosen = minions.beginRun({}, now)) {
            digest.add(chosen->value());
            running.push_back(*chosen);
        }
        if (running.size() > 60) {
            const MinionId id = running.front();
            running.erase(running.begin());
            const bool bad = id.value().ends_with("3");
            const auto busy = static_cast<std::uint32_t>(random() % 8);
            minions.endRun(id, bad ? RunVerdict::Failure : RunVerdict::Success, busy, now);
        }
    }
}

} // namespace

std::uint64_t decisionSignature()
{
    Digest digest;
    admissionScenario(digest);
    minionScenario(digest);
    for (const std::string &decision : stepDecisions(SEED)) {
        digest.add(decision);
    }
    for (const User user : {User::Fjordhvile, User::Guild}) {
        for (const Flood flood : {Flood::None, Flood::Background}) {
            GuaranteeScheduling policy;
            const DayResult result = runDay(makeDay({user, flood, SEED}), policy);
            digest.add(std::to_string(result.digest));
        }
    }
    return digest.value();
}

} // namespace Papaya::Bench
