#include "request/admission.h"
#include "request/minionchoice.h"
#include "request/retrybudget.h"

#include <gtest/gtest.h>

// Tests the rules of the request path: admission, choice of a minion, and the retry budget.

namespace Papaya
{

namespace
{

AdmissionSetup makeSetup(std::uint32_t slots)
{
    AdmissionSetup setup;
    setup.slots = slots;
    setup.teams[TeamName("a")] = {1, 0, {100, 3, 10}};
    setup.teams[TeamName("b")] = {1, 2, {100, 3, 10}};
    return setup;
}

Ticket makeTicket(std::uint64_t id, const char *team, const char *caller, Urgency urgency = Urgency::Normal)
{
    Ticket ticket;
    ticket.id = TicketId(id);
    ticket.team = TeamName(team);
    ticket.caller = CallerName(caller);
    ticket.urgency = urgency;
    ticket.deadline = TimePoint {} + Millis(10'000);
    ticket.expectedServiceTime = Millis(10);
    ticket.serviceTimeBound = Millis(10);
    return ticket;
}

TEST(Admission, ServesATeamUnderItsGuaranteeBeforeMoreUrgentWork)
{
    FairAdmission admission;
    admission.configure(makeSetup(1));
    const TimePoint now {};
    admission.enqueue(makeTicket(1, "a", "x", Urgency::Urgent), now);
    admission.enqueue(makeTicket(2, "b", "y", Urgency::Background), now);
    EXPECT_EQ(TicketId(2), admission.next(now)->id);
    EXPECT_FALSE(admission.next(now).has_value());
    admission.finish(TicketId(2));
    EXPECT_EQ(TicketId(1), admission.next(now)->id);
}

TEST(Admission, DropsTheNewestTicketOfTheHeaviestCallerWhenTheQueueIsFull)
{
    FairAdmission admission;
    admission.configure(makeSetup(0));
    const TimePoint now {};
    for (std::uint64_t id = 1; id <= 3; ++id) {
        EXPECT_FALSE(admission.enqueue(makeTicket(id, "a", "heavy"), now).refusal);
    }
    EXPECT_EQ(Refusal::QueueFull, admission.enqueue(makeTicket(4, "a", "heavy"), now).refusal);
    const EnqueueResult light = admission.enqueue(makeTicket(5, "a", "light"), now);
    EXPECT_FALSE(light.refusal);
    EXPECT_EQ(TicketId(3), light.displaced);
    EXPECT_EQ(3U, admission.queued());
}

TEST(Admission, RefusesTicketsWhoseDeadlineIsUnreachableOrHasPassed)
{
    FairAdmission admission;
    admission.configure(makeSetup(1));
    const TimePoint now {};
    Ticket unreachable = makeTicket(1, "a", "x");
    unreachable.deadline = now + Millis(5);
    EXPECT_EQ(Refusal::DeadlineUnreachable, admission.enqueue(unreachable, now).refusal);
    Ticket waiting = makeTicket(2, "a", "x");
    waiting.deadline = now + Millis(50);
    admission.enqueue(waiting, now);
    EXPECT_EQ(Refusal::DeadlinePassed, admission.next(now + Millis(60))->refusal);
}

TEST(Admission, AlternatesAmongCallersHoweverManyTicketsTheyQueue)
{
    FairAdmission admission;
    AdmissionSetup setup = makeSetup(1);
    setup.teams[TeamName("a")].limits.queued = 100;
    admission.configure(setup);
    const TimePoint now {};
    for (std::uint64_t id = 1; id <= 50; ++id) {
        admission.enqueue(makeTicket(id, "a", "heavy"), now);
    }
    admission.enqueue(makeTicket(100, "a", "light"), now);
    std::set<TicketId> firstTwo;
    for (int i = 0; i < 2; ++i) {
        const auto next = admission.next(now);
        firstTwo.insert(next->id);
        admission.finish(next->id);
    }
    EXPECT_TRUE(firstTwo.contains(TicketId(100)));
}

TEST(MinionChoice, EjectsFailingMinionsUpToHalfOfThemAndReadmitsThemLater)
{
    MinionSet minions(std::make_unique<RoundRobinMinion>(), 1);
    minions.update({{MinionId("a"), 8, 64}, {MinionId("b"), 8, 64}}, {InstanceId("e")}, InstanceId("e"));
    const TimePoint now {};
    for (int i = 0; i < 3; ++i) {
        minions.endRun(MinionId("a"), RunVerdict::Failure, std::nullopt, now);
    }
    EXPECT_EQ(1U, minions.ejected(now));
    EXPECT_EQ(MinionId("b"), minions.beginRun({}, now));
    // At most half of the minions may be ejected at a time.
    for (int i = 0; i < 5; ++i) {
        minions.endRun(MinionId("b"), RunVerdict::Failure, std::nullopt, now);
    }
    EXPECT_EQ(1U, minions.ejected(now));
    EXPECT_EQ(0U, minions.ejected(now + Millis(1'500)));
}

TEST(RetryBudget, AllowsRetriesInProportionToSuccesses)
{
    RetryBudget budget(0.1, 2);
    EXPECT_TRUE(budget.spend());
    EXPECT_TRUE(budget.spend());
    EXPECT_FALSE(budget.spend());
    for (int i = 0; i < 11; ++i) {
        budget.earn();
    }
    EXPECT_TRUE(budget.spend());
    EXPECT_FALSE(budget.spend());
}

} // namespace

} // namespace Papaya
