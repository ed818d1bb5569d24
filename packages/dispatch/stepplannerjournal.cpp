#include "dispatch/stepplanner.h"

#include "dispatch/boottime.h"
#include "dispatch/leaseterms.h"
#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

// Journaling: a unit change is stored before its start is ordered or its end is acknowledged.

namespace Papaya
{

namespace
{

constexpr std::int64_t CONFIG_JOURNAL_INTERVAL_MS = 1'000;     // minimum between two configuration records
constexpr std::int64_t SILENCE_DELAY_MS = 1'000;               // after a take-over, for the first polls
constexpr std::int64_t MAX_SILENCE_RECORD_DELAY_MS = 1'000;    // since an append was stored; there are several a second
constexpr std::int64_t MEMBER_ENDS_DELAY_MS = 400;             // most units end as a whole before
constexpr std::size_t MAX_CONFIG_RECORD_BYTES = 200UL * 1'024; // below the 256 KB limit of the store

} // namespace

void StepPlanner::journalConfig(std::int64_t nowMs)
{
    const ConfigDocument &document = m_context.configDocument();
    const bool isNew = document.version > m_journaledConfigVersion && document.text.size() <= MAX_CONFIG_RECORD_BYTES;
    if (!isNew || nowMs - m_lastConfigJournalMs < CONFIG_JOURNAL_INTERVAL_MS) {
        return;
    }
    m_journaledConfigVersion = document.version;
    m_lastConfigJournalMs = nowMs;
    m_pendingRecords.push_back(encodeRecord(ConfigCopied {document.text}));
    flushSoon();
}

void StepPlanner::recordSilences(std::int64_t nowMs)
{
    if (nowMs - m_takeoverMs < SILENCE_DELAY_MS) {
        return;
    }
    // Without the store, a minion that answers again would get no lease until the withdrawal is stored.
    const bool isStoreThere = nowMs - m_writer->lastStoredMs() < MAX_SILENCE_RECORD_DELAY_MS;
    for (auto &[id, link] : m_links) {
        const bool unreached = !link.clock.known() && link.restarts == 0 && (link.pollFailures > 0 || !link.listed);
        if (link.silenceRecorded) {
            if (link.placed.empty()) {
                withdrawSilence(link);
            }
        } else if (unreached && !link.placed.empty()) {
            recordSilence(link, 0);
        } else if (isStoreThere && link.pollFailures > MAX_UNANSWERED_RENEWALS && link.leaseIsLimited(nowMs)
                   && !link.placed.empty()) {
            recordSilence(link, ++m_silenceSpells);
        }
    }
    for (const auto &[id, silence] : m_context.jobTable.silences()) {
        if (!m_links.contains(id) && m_withdrawn.insert(id).second) {
            m_pendingRecords.push_back(encodeRecord(MinionSilence {id, std::nullopt}));
            flushSoon();
        }
    }
}

void StepPlanner::recordSilence(MinionLink &link, std::uint32_t spell)
{
    link.silenceRecorded = true;
    m_pendingRecords.push_back(encodeRecord(MinionSilence {link.entry.id, m_epoch, spell, link.entry.startTimeMs}));
    flushSoon();
}

void StepPlanner::withdrawSilence(MinionLink &link)
{
    if (link.silenceEnding) {
        return;
    }
    link.silenceEnding = true;
    m_pendingRecords.push_back(encodeRecord(MinionSilence {link.entry.id, std::nullopt}));
    m_pendingWithdrawals.push_back(link.entry.id);
    flushSoon();
}

void StepPlanner::recordMemberEnds(std::int64_t nowMs)
{
    for (const auto &[unit, assignment] : m_assignments) {
        const bool partial = assignment->firstEndMs > 0 && assignment->outcome != EndKind::Done;
        if (!partial || nowMs - assignment->firstEndMs < MEMBER_ENDS_DELAY_MS) {
            continue;
        }
        const UnitStatus *known = m_context.jobTable.find(unit);
        if (known == nullptr || known->state != UnitState::Placed) {
            continue;
        }
        UnitStatus status = *known;
        bool changed = false;
        for (std::size_t i = 0; i < status.minions.size(); ++i) {
            if (assignment->members[i].state == MemberState::Ended && !status.minions[i].value().empty()) {
                status.minions[i] = MinionId();
                changed = true;
            }
        }
        if (changed) {
            status.checkpoint = assignment->checkpoint;
            record(unit, std::move(status));
        }
    }
}

void StepPlanner::record(const UnitKey &unit, UnitStatus status)
{
    UnitChanged change {unit, std::move(status)};
    StoredRecord encoded = encodeRecord(change);
    if (!m_writer->fits(encoded)) {
        // The store never takes it, and the work since then is the only loss; see startUnit() on minions.
        logEvent(LogLevel::Error, "checkpoint-too-large",
                 {{"unit", unit.toString()}, {"bytes", std::uint64_t(change.status.checkpoint.size())}});
        change.status.checkpoint.clear();
        encoded = encodeRecord(change);
    }
    m_pendingRecords.push_back(std::move(encoded));
    m_context.times.observe(m_context.jobTable.find(unit.job)->job, change, bootMillis());
    m_context.jobTable.applyUnstored(change);
    m_pendingChanges.push_back(std::move(change));
    flushSoon();
}

void StepPlanner::forgetEnded(std::int64_t nowMs)
{
    std::vector<JobId> old;
    for (const auto &[id, entry] : m_context.jobTable.jobs()) {
        if (entry.live() || m_context.jobTable.stored(entry).live() || m_forgetting.contains(id)) {
            continue;
        }
        const std::int64_t ended = m_endedMs.try_emplace(id, nowMs).first->second;
        const auto placed = m_assignments.lower_bound(UnitKey {id, 0, 0, UnitKey::GANG});
        const bool runs = placed != m_assignments.end() && placed->first.job == id;
        if (nowMs - ended >= m_context.endedJobRetention.count() && !runs) {
            old.push_back(id);
        }
    }
    for (const JobId &id : old) {
        m_forgetting.insert(id);
        ForgettingRecords records = encodeForgetting(id, JobTable::unitsOf(*m_context.jobTable.find(id)));
        std::vector<StoredRecord> last = std::move(records.units);
        last.insert(last.end(), records.job.begin(), records.job.end());
        if (!m_writer->storesAtomically(last)) {
            last.resize(last.size() - records.job.size());
            last.insert(last.begin(), std::move(records.cancellation));
            m_writer->append(std::exchange(last, std::move(records.job)), TimePoint::max(), [](AppendOutcome) {});
        }
        m_writer->append(std::move(last), TimePoint::max(), [self = shared_from_this(), id](AppendOutcome outcome) {
            if (outcome == AppendOutcome::Stored && self->m_leading) {
                self->forget(id);
            } else if (outcome == AppendOutcome::Fenced) {
                self->stepDown("fenced-by-store");
            }
        });
    }
    if (!old.empty()) {
        logEvent(LogLevel::Info, "jobs-forgotten", {{"jobs", std::uint64_t(old.size())}});
    }
}

void StepPlanner::forget(const JobId &job)
{
    m_context.jobTable.apply(StepJobForgotten {job});
    m_forgetting.erase(job);
    m_endedMs.erase(job);
    m_tickets.forget(job);
    m_admissionTurns.forget(job);
    m_startedJobs.erase(job);
    m_stoppedJobs.erase(job);
}

StoredRecord StepPlanner::announcement(bool resigned) const
{
    PlannerAnnouncement record {m_epoch, m_context.node, resigned, m_context.milliCores, m_context.peers};
    if (m_context.priors) {
        std::vector<PriorPlanner> priors = *m_context.priors;
        Succession::dropExpired(priors, LAST_LEASE_SPAN_MS, bootMillis());
        record.earlier = Succession::listed(priors, bootMillis());
    }
    return encodeRecord(record);
}

void StepPlanner::flushSoon()
{
    if (m_flushPosted) {
        return;
    }
    m_flushPosted = true;
    Asio::post(m_context.io, [self = shared_from_this()] { self->flush(); });
}

void StepPlanner::flush()
{
    m_flushPosted = false;
    if (!m_leading) {
        return;
    }
    const auto stored = [self = shared_from_this(), ends = std::move(m_pendingEnds),
                         starts = std::move(m_pendingStarts), changes = std::move(m_pendingChanges),
                         heard = std::move(m_pendingWithdrawals)] {
        for (const UnitChanged &change : changes) {
            self->m_context.jobTable.confirmStored(change);
        }
        for (const MinionId &minion : heard) {
            if (const auto found = self->m_links.find(minion); found != self->m_links.end()) {
                found->second.silenceRecorded = found->second.silenceEnding = false;
                self->requestPass();
            }
        }
        for (const PendingEnds &pending : ends) {
            const auto found = self->m_links.find(pending.minion);
            if (found == self->m_links.end() || found->second.restarts != pending.restarts) {
                continue; // a new instance of the minion numbers its ends anew
            }
            MinionLink &link = found->second;
            link.endsStored = std::max(link.endsStored, std::min(pending.upTo, link.endsHandled));
            self->ensurePolling(link);
        }
        for (const AssignmentPtr &assignment : starts) {
            self->m_startQueue.push_back(assignment);
        }
        self->sendQueuedStarts();
    };
    m_pendingEnds.clear();
    m_pendingStarts.clear();
    m_pendingChanges.clear();
    m_pendingWithdrawals.clear();
    if (m_pendingRecords.empty() && m_writer->idle()) {
        stored(); // ends of unknown runs need no record
        return;
    }
    if (m_pendingRecords.empty()) {
        // An append in flight may hold earlier ends of the same minions; a heartbeat record is queued behind it.
        m_pendingRecords.push_back(announcement(false));
    }
    m_writer->append(std::move(m_pendingRecords), TimePoint::max(),
                     [self = shared_from_this(), stored](AppendOutcome outcome) {
                         if (outcome == AppendOutcome::Stored && self->m_leading) {
                             stored();
                         } else if (outcome == AppendOutcome::Fenced) {
                             self->stepDown("fenced-by-store");
                         }
                     });
    m_pendingRecords.clear();
}

} // namespace Papaya
