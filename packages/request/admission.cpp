#include "request/admission.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace Papaya
{

namespace
{

constexpr std::size_t CALLER_PRUNE_THRESHOLD = 1024; // per team and urgency band; above it, idle callers are dropped

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void FifoAdmission::configure(const AdmissionSetup &setup)
{
    m_setup = setup;
}

EnqueueResult FifoAdmission::enqueue(const Ticket &ticket, TimePoint /*now*/)
{
    std::size_t limit = 0;
    for (const auto &[name, share] : m_setup.teams) {
        limit += share.limits.queued;
    }
    if (m_queue.size() >= limit) {
        return {Refusal::QueueFull, std::nullopt};
    }
    m_queue.push_back(ticket);
    return {};
}

std::optional<Dequeued> FifoAdmission::next(TimePoint now)
{
    if (m_queue.empty() || m_inProgress.size() >= m_setup.slots) {
        return std::nullopt;
    }
    const Ticket ticket = m_queue.front();
    m_queue.pop_front();
    if (now >= ticket.deadline) {
        return Dequeued {ticket.id, Refusal::DeadlinePassed};
    }
    m_inProgress.emplace(ticket.id, ticket.team);
    return Dequeued {ticket.id, std::nullopt};
}

void FifoAdmission::withdraw(TicketId id)
{
    std::erase_if(m_queue, [id](const Ticket &ticket) { return ticket.id == id; });
}

void FifoAdmission::finish(TicketId id)
{
    m_inProgress.erase(id);
}

std::size_t FifoAdmission::queued() const
{
    return m_queue.size();
}

std::size_t FifoAdmission::inProgress() const
{
    return m_inProgress.size();
}

TeamDemand FifoAdmission::demand() const
{
    TeamDemand demand;
    for (const Ticket &ticket : m_queue) {
        ++demand[ticket.team];
    }
    for (const auto &[id, team] : m_inProgress) {
        ++demand[team];
    }
    return demand;
}

FairAdmission::FairAdmission(CallerFairness fairness)
    : m_fairness(fairness)
{
}

void FairAdmission::configure(const AdmissionSetup &setup)
{
    m_setup = setup;
    for (const auto &[name, share] : setup.teams) {
        m_teams[name].share = share;
    }
}

FairAdmission::TeamState &FairAdmission::teamState(const TeamName &name)
{
    return m_teams[name];
}

CallerName FairAdmission::queueName(const Ticket &ticket) const
{
    return m_fairness == CallerFairness::PerCaller ? ticket.caller : CallerName();
}

double FairAdmission::fairSlots(const TeamState &team) const
{
    double weights = team.queued == 0 && team.inProgress == 0 ? team.share.weight : 0;
    for (const auto &[name, other] : m_teams) {
        if (other.queued > 0 || other.inProgress > 0) {
            weights += other.share.weight;
        }
    }
    const double fair = m_setup.slots * team.share.weight / std::max(1.0, weights);
    return std::max({1.0, fair, static_cast<double>(team.share.guaranteedSlots)});
}

Duration FairAdmission::expectedWait(const TeamState &team, const Ticket &ticket) const
{
    const bool slotFree = m_inProgress.size() < m_setup.slots;
    if (slotFree && m_queued.empty()) {
        return Duration::zero();
    }
    const auto band = static_cast<std::size_t>(ticket.urgency);
    const TeamBand &own = team.bands[band];
    Duration ahead {0};
    for (std::size_t i = 0; i <= band; ++i) {
        ahead += team.bands[i].queuedWork;
    }
    // Fair queueing takes turns among callers, so the request waits for about as much work of each other caller as its
    // own caller has queued, not for all of their work.
    const auto queue = own.callers.find(queueName(ticket));
    const Duration callerWork = queue == own.callers.end() ? Duration::zero() : queue->second.queuedWork;
    const auto turns = static_cast<std::int64_t>(own.backlogged.size() + 1);
    ahead = std::min(ahead, (callerWork + ticket.expectedServiceTime) * turns);
    return std::chrono::duration_cast<Duration>(ahead / fairSlots(team));
}

std::optional<TicketId> FairAdmission::ticketToDisplace(const TeamState &team, const CallerName &newcomer) const
{
    const CallerQueue *leastUrgent = nullptr;
    std::map<CallerName, std::size_t> counts;
    for (const TeamBand &band : team.bands) {
        for (const auto &[caller, queue] : band.callers) {
            counts[caller] += queue.tickets.size();
        }
    }
    std::size_t most = counts[newcomer];
    const CallerName *name = nullptr;
    for (const auto &[caller, count] : counts) {
        if (count > most) {
            most = count;
            name = &caller;
        }
    }
    if (name == nullptr) {
        return std::nullopt;
    }
    // From the least urgent band of that caller, drop the request with the latest deadline.
    for (auto band = team.bands.rbegin(); band != team.bands.rend(); ++band) {
        const auto queue = band->callers.find(*name);
        if (queue != band->callers.end() && !queue->second.tickets.empty()) {
            leastUrgent = &queue->second;
            break;
        }
    }
    assert(leastUrgent != nullptr);
    return leastUrgent->tickets.rbegin()->first.second;
}

EnqueueResult FairAdmission::enqueue(const Ticket &ticket, TimePoint now)
{
    TeamState &team = teamState(ticket.team);
    EnqueueResult result;
    if (now >= ticket.deadline) {
        result.refusal = Refusal::DeadlinePassed;
        return result;
    }
    if (now + expectedWait(team, ticket) + ticket.serviceTimeBound > ticket.deadline) {
        result.refusal = Refusal::DeadlineUnreachable;
        return result;
    }
    if (team.queued >= team.share.limits.queued) {
        result.displaced = ticketToDisplace(team, queueName(ticket));
        if (!result.displaced) {
            result.refusal = Refusal::QueueFull;
            return result;
        }
        withdraw(*result.displaced);
    }
    insert(team, ticket);
    return result;
}

void FairAdmission::insert(TeamState &team, const Ticket &ticket)
{
    const auto index = static_cast<std::size_t>(ticket.urgency);
    TeamBand &band = team.bands[index];
    const CallerName name = queueName(ticket);
    CallerQueue &queue = band.callers[name];
    if (band.queued == 0) {
        band.startTag = std::max(band.startTag, m_virtualTime[index]);
    }
    if (queue.tickets.empty()) {
        queue.startTag = std::max(queue.startTag, band.virtualTime);
        band.backlogged.emplace(queue.startTag, name);
    }
    queue.tickets.emplace(QueueKey(ticket.deadline, ticket.id), ticket);
    queue.queuedWork += ticket.expectedServiceTime;
    band.queuedWork += ticket.expectedServiceTime;
    ++band.queued;
    ++team.queued;
    m_queued[ticket.id] = {ticket.team, name, index, ticket.deadline};
}

Ticket FairAdmission::remove(const QueueEntry &where, TicketId id)
{
    TeamState &team = m_teams.at(where.team);
    TeamBand &band = team.bands[where.band];
    CallerQueue &queue = band.callers.at(where.caller);
    const auto found = queue.tickets.find(QueueKey(where.deadline, id));
    assert(found != queue.tickets.end());
    Ticket ticket = found->second;
    queue.tickets.erase(found);
    queue.queuedWork -= ticket.expectedServiceTime;
    band.queuedWork -= ticket.expectedServiceTime;
    --band.queued;
    --team.queued;
    if (queue.tickets.empty()) {
        band.backlogged.erase({queue.startTag, where.caller});
        // A caller whose start tag is not above the virtual time can be dropped, since insert() would raise the tag to
        // the virtual time anyway.
        if (band.callers.size() > CALLER_PRUNE_THRESHOLD) {
            std::erase_if(band.callers, [&](const auto &entry) {
                return entry.second.tickets.empty() && entry.second.startTag <= band.virtualTime;
            });
        }
    }
    m_queued.erase(id);
    return ticket;
}

void FairAdmission::withdraw(TicketId id)
{
    const auto found = m_queued.find(id);
    if (found != m_queued.end()) {
        const QueueEntry where = found->second;
        remove(where, id);
    }
}

void FairAdmission::finish(TicketId id)
{
    const auto found = m_inProgress.find(id);
    if (found == m_inProgress.end()) {
        return;
    }
    TeamState &team = m_teams.at(found->second.team);
    --team.inProgress;
    --team.bands[found->second.band].inProgress;
    --m_bandInProgress[found->second.band];
    m_inProgress.erase(found);
}

bool FairAdmission::mayDispatch(const TeamState &team) const
{
    return team.queued > 0 && team.inProgress < team.share.limits.inFlight;
}

TeamName FairAdmission::pickGuaranteed() const
{
    const TeamName *best = nullptr;
    double lowest = 1.0;
    for (const auto &[name, team] : m_teams) {
        if (!mayDispatch(team) || team.share.guaranteedSlots == 0) {
            continue;
        }
        const double used = static_cast<double>(team.inProgress) / team.share.guaranteedSlots;
        if (used < lowest) {
            lowest = used;
            best = &name;
        }
    }
    return best == nullptr ? TeamName() : *best;
}

std::size_t FairAdmission::pickBandOf(const TeamState &team) const
{
    // A floor of 0 percent counts as 0.5 percent here and in pickBand(), so that the band is not starved.
    std::size_t best = URGENCY_COUNT;
    double lowest = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < URGENCY_COUNT; ++i) {
        const double floor = std::max(0.5, static_cast<double>(m_setup.floors[i]));
        const double used = (team.bands[i].inProgress + 1) / floor;
        if (team.bands[i].queued > 0 && used < lowest) {
            lowest = used;
            best = i;
        }
    }
    assert(best < URGENCY_COUNT);
    return best;
}

std::optional<std::size_t> FairAdmission::pickBand() const
{
    std::optional<std::size_t> best;
    double lowest = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < URGENCY_COUNT; ++i) {
        const bool waits = std::any_of(m_teams.begin(), m_teams.end(), [&](const auto &entry) {
            return mayDispatch(entry.second) && entry.second.bands[i].queued > 0;
        });
        const double floor = std::max(0.5, static_cast<double>(m_setup.floors[i]));
        const double used = (m_bandInProgress[i] + 1) / floor;
        if (waits && used < lowest) {
            lowest = used;
            best = i;
        }
    }
    return best;
}

TeamName FairAdmission::pickTeam(std::size_t band) const
{
    const TeamName *best = nullptr;
    double lowest = std::numeric_limits<double>::infinity();
    for (const auto &[name, team] : m_teams) {
        if (mayDispatch(team) && team.bands[band].queued > 0 && team.bands[band].startTag < lowest) {
            lowest = team.bands[band].startTag;
            best = &name;
        }
    }
    assert(best != nullptr);
    return *best;
}

Dequeued FairAdmission::dispatch(const TeamName &name, std::size_t index, TimePoint now)
{
    TeamState &team = m_teams.at(name);
    TeamBand &band = team.bands[index];
    const auto [callerTag, caller] = *band.backlogged.begin();
    const TicketId id = band.callers.at(caller).tickets.begin()->first.second;
    const QueueEntry where = m_queued.at(id);
    const Ticket ticket = remove(where, id);
    if (now + ticket.serviceTimeBound > ticket.deadline) {
        return {id, now >= ticket.deadline ? Refusal::DeadlinePassed : Refusal::DeadlineUnreachable};
    }
    // Start-time fair queueing: virtual time is the highest start tag served so far, and each served request advances
    // the tags of its caller and team by its cost; for the team the cost is divided by the weight.
    const double cost = std::max(seconds(ticket.expectedServiceTime), 1e-6);
    m_virtualTime[index] = std::max(m_virtualTime[index], band.startTag);
    band.startTag += cost / team.share.weight;
    band.virtualTime = std::max(band.virtualTime, callerTag);
    CallerQueue &queue = band.callers.at(caller);
    if (!queue.tickets.empty()) {
        band.backlogged.erase({queue.startTag, caller});
        band.backlogged.emplace(callerTag + cost, caller);
    }
    queue.startTag = callerTag + cost;
    ++team.inProgress;
    ++band.inProgress;
    ++m_bandInProgress[index];
    m_inProgress[id] = where;
    return {id, std::nullopt};
}

std::optional<Dequeued> FairAdmission::next(TimePoint now)
{
    if (m_queued.empty() || m_inProgress.size() >= m_setup.slots) {
        return std::nullopt;
    }
    const TeamName guaranteed = pickGuaranteed();
    if (!guaranteed.value().empty()) {
        return dispatch(guaranteed, pickBandOf(m_teams.at(guaranteed)), now);
    }
    const auto band = pickBand();
    if (!band) {
        return std::nullopt;
    }
    return dispatch(pickTeam(*band), *band, now);
}

std::size_t FairAdmission::queued() const
{
    return m_queued.size();
}

std::size_t FairAdmission::inProgress() const
{
    return m_inProgress.size();
}

TeamDemand FairAdmission::demand() const
{
    TeamDemand demand;
    for (const auto &[name, team] : m_teams) {
        const auto count = static_cast<std::uint32_t>(team.queued) + team.inProgress;
        if (count > 0) {
            demand[name] = count;
        }
    }
    return demand;
}

} // namespace Papaya
