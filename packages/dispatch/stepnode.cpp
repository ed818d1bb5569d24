#include "dispatch/stepnode.h"

#include "base/digest.h"
#include "connection/httpserver.h"
#include "dispatch/boottime.h"
#include "dispatch/deploymentview.h"
#include "dispatch/jobapi.h"
#include "dispatch/leaseterms.h"
#include "dispatch/operatorapi.h"
#include "dispatch/renewalinquiry.h"
#include "dispatch/stepplanner.h"
#include "dispatch/topicfollower.h"
#include "process/listenershares.h"
#include "process/logging.h"
#include "steps/candidacy.h"
#include "steps/epochs.h"
#include "steps/jobage.h"
#include "steps/steadywallclock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace Papaya
{

namespace
{

constexpr std::size_t PEER_CONNECTIONS = 512;  // up to 97 nodes relay records over a few connections each
constexpr Millis JOURNAL_READ_WAIT {300};      // above the planner's heartbeat interval; a dead read ends later by it
constexpr Millis CONFIG_READ_WAIT {1'200};     // below the time in which a configuration must take effect
constexpr Millis FOLLOWER_READ_INTERVAL {500}; // nodes that do not lead read in batches, or when asked, to save calls
constexpr Millis PLANNER_READ_INTERVAL {15};
constexpr Millis MINIONS_READ_INTERVAL {400}; // each minion writes every 1 to 2 s
constexpr Millis MINIONS_READ_WAIT {400};     // the view is as old as the wait if no minion writes
constexpr Millis TICK_INTERVAL {100};
constexpr std::int64_t MAX_READ_AGE_MS = 2'500; // with an older read, the job table may lack accepted jobs
constexpr std::uint32_t JITTER_RANGE = 1'000;   // Candidacy and ClaimBackoff take a jitter below this
constexpr Millis DRAIN_NOTICE {2'200};          // the balancer probes once a second and drops a node after two failures
constexpr Millis EXIT_MARGIN {1'200};           // before the platform kills the process

std::string producerName()
{
    return "planner";
}

} // namespace

/** The components of a node and its state. */
struct StepNode::Parts {
    /** Forwards the records of one topic to callbacks. */
    struct RecordForwarder : public TopicHandler {
        RecordForwarder(std::function<void(const std::vector<StoredRecord> &)> onLoaded,
                        std::function<void(const std::vector<StoredRecord> &)> onReceived)
            : m_loaded(std::move(onLoaded))
            , m_received(std::move(onReceived))
        {
        }
        void loaded(const std::vector<StoredRecord> &records) override
        {
            m_loaded(records);
        }
        void received(const std::vector<StoredRecord> &records) override
        {
            m_received(records);
        }
        std::function<void(const std::vector<StoredRecord> &)> m_loaded;
        std::function<void(const std::vector<StoredRecord> &)> m_received;
    };

    Parts(Asio::io_context &context, const NodeSettings &nodeSettings, std::string path, Platform nodePlatform)
        : io(context)
        , settings(nodeSettings)
        , settingsPath(std::move(path))
        , platform(std::move(nodePlatform))
        , journalForwarder([this](const auto &records) { journalLoaded(records); },
                           [this](const auto &records) { journalReceived(records); })
        , deployment(*platform.codec,
                     {[this](const MinionEntry &entry) { minionListed(entry); },
                      [this](const MinionId &id) { minionUnlisted(id); }, [this] { evacuationsChanged(); }})
        , configForwarder([this](const auto &records) { deployment.configReloaded(records); },
                          [this](const auto &records) { deployment.configReceived(records); })
        , minionForwarder([this](const auto &records) { deployment.minionsReloaded(records); },
                          [this](const auto &records) { deployment.minionsReceived(records); })
        , journal(io, *platform.store, Topic::Journal, journalForwarder, JOURNAL_READ_WAIT, loopClock)
        , configTopic(io, *platform.store, Topic::Config, configForwarder, CONFIG_READ_WAIT, loopClock)
        , writer(JournalWriter::create(io, *platform.store, std::nullopt, readDelay()))
        , peerPool(io)
        , relay(peerPool)
        , jobApi({*platform.codec, writer, jobTable, [this] { return deployment.config(); },
                  [this] { return upToDate(); }, [this](const JobRecord &record) { ownRecordStored(record); }, metrics,
                  [this] { return storeEvidence(); }, [this](Millis limit) { return journal.refresh(limit); }, &relay,
                  [this] { return relayPeer(); }, [this] { return wallNow(); }})
        , relayReceiver([this](std::vector<StoredRecord> records, TimePoint deadline) {
            return appendRelayed(std::move(records), deadline);
        })
        , inquiries(
              settings.node.value(), [this](Epoch epoch) { return renewalsEndedAgo(epoch); }, relayReceiver)
        , operators({*platform.codec, jobApi, jobTable, metrics, [this] { return deployment.config(); },
                     [this] { return status(); },
                     [this](const JobId &job) {
                         return planner ? planner->explain(job) : std::map<UnitKey, WaitExplanation>();
                     }})
        , signals(io, SIGTERM, SIGINT, SIGHUP)
        , random(std::random_device {}())
        , callers(HttpServer::listen(io, settings.callers, limitsOf(shares.callers), jobApi))
        , readyServer(HttpServer::listen(io, settings.ready, limitsOf(shares.operators), operators))
    {
        journal.setMinInterval(FOLLOWER_READ_INTERVAL);
        if (settings.peers) {
            peerServer = HttpServer::listen(io, *settings.peers, limitsOf(shares.peers), inquiries);
        }
        ownLeadership.emplace(bootMillis());
    }

    [[nodiscard]] HttpLimits limitsOf(std::size_t connections) const
    {
        HttpLimits limits;
        limits.connections = connections;
        limits.budget = inputBudget;
        return limits;
    }

    void start()
    {
        startedMs = bootMillis();
        wallClock.observe(wallMillis(), startedMs);
        Asio::co_spawn(io, clockLoop(*this), Asio::detached);
        journal.start();
        configTopic.start();
        Asio::co_spawn(io, tickLoop(*this), Asio::detached);
        awaitSignal();
        logEvent(LogLevel::Info, "started",
                 {{"callers", settings.callers.toString()}, {"store", settings.store.toString()}});
    }

    void minionListed(const MinionEntry &entry)
    {
        if (planner) {
            planner->minionListed(entry);
        }
    }

    void minionUnlisted(const MinionId &id)
    {
        if (planner) {
            planner->minionUnlisted(id);
        }
    }

    void evacuationsChanged()
    {
        if (planner) {
            planner->evacuationsChanged();
        }
    }

    [[nodiscard]] bool upToDate() const
    {
        return journal.isLoaded() && bootMillis() - journal.lastSuccessMs() < MAX_READ_AGE_MS;
    }

    [[nodiscard]] bool ready() const
    {
        return !draining && deployment.config() != nullptr && upToDate() && !journal.isFailing();
    }

    [[nodiscard]] NodeStatus status() const
    {
        NodeStatus status;
        status.node = settings.node.value();
        status.ready = ready();
        status.leading = planner != nullptr;
        status.planner = jobTable.planner().resigned ? "" : jobTable.planner().node;
        status.epoch = jobTable.planner().epoch.value();
        status.configVersion = deployment.config() == nullptr ? 0 : deployment.config()->version.value();
        status.journalAgeMs = bootMillis() - journal.lastSuccessMs();
        status.journalOffset = journal.next().value();
        status.jobs = jobTable.size();
        status.liveJobs = jobTable.live().size();
        status.minions = planner ? planner->minionCount() : 0;
        status.interferingPairs = planner ? planner->interferingPairs() : 0;
        status.slowMinions = planner ? planner->slowMinionCount() : 0;
        status.evacuatedPlaces = deployment.evacuations().inForce();
        return status;
    }

    // --- Journal ---

    void journalLoaded(const std::vector<StoredRecord> &records)
    {
        std::map<JobId, std::int64_t> accepted;
        for (const auto &[id, entry] : jobTable.jobs()) {
            if (entry.acceptedMs) {
                accepted.emplace(id, *entry.acceptedMs);
            }
        }
        const JobTable earlier = planner ? JobTable() : std::exchange(jobTable, JobTable());
        loading = true;
        applyRecords(records);
        loading = false;
        jobTable.restoreSilences(earlier);
        restoreAges(accepted);
        lastPlannerRecordMs = journal.currentAsOfMs(); // what was loaded had been stored by then
        logEvent(LogLevel::Info, "journal-loaded",
                 {{"records", std::uint64_t(records.size())}, {"jobs", std::uint64_t(jobTable.size())}});
    }

    /** Sets the ages of loaded jobs: as known before, or by the clocks that stamped the journal. */
    void restoreAges(const std::map<JobId, std::int64_t> &accepted)
    {
        for (const auto &[id, acceptedMs] : accepted) {
            jobTable.setAccepted(id, acceptedMs);
        }
        std::vector<std::int64_t> stamps; // of the newest submissions
        const auto &live = jobTable.live();
        for (auto job = live.rbegin(); job != live.rend() && stamps.size() < AGE_SAMPLES; ++job) {
            stamps.push_back(job->second->job.submittedMs);
        }
        const std::int64_t now = bootMillis();
        const std::int64_t journalNow = journalNowMs(std::move(stamps), wallClock.at(now));
        for (const auto &[key, entry] : live) {
            const std::int64_t age = std::max<std::int64_t>(0, journalNow - entry->job.submittedMs);
            jobTable.setAccepted(entry->job.id, now - age);
        }
    }

    void journalReceived(const std::vector<StoredRecord> &records)
    {
        applyRecords(records);
    }

    void applyRecords(const std::vector<StoredRecord> &records)
    {
        for (const StoredRecord &record : records) {
            const auto decoded = decodeRecord(record.key, record.value);
            if (!decoded) {
                logEvent(LogLevel::Warning, "record-ignored", {{"key", record.key}});
                continue;
            }
            applyRecord(*decoded);
        }
    }

    static bool isFromPlanner(const JobRecord &record)
    {
        return std::holds_alternative<UnitChanged>(record) || std::holds_alternative<PlannerAnnouncement>(record)
               || std::holds_alternative<MinionSilence>(record) || std::holds_alternative<StepJobForgotten>(record)
               || std::holds_alternative<StepJobPartForgotten>(record);
    }

    void applyRecord(const JobRecord &record)
    {
        if (isFromPlanner(record)) {
            lastPlannerRecordMs = bootMillis();
        }
        if (const auto *announced = std::get_if<PlannerAnnouncement>(&record)) {
            succession.read(*announced, !loading, bootMillis());
        }
        const bool decided =
            std::holds_alternative<UnitChanged>(record) || std::holds_alternative<WaveProgress>(record);
        if (planner && decided) {
            return; // the planner has already applied its own decisions to the job table
        }
        if (const auto *copied = std::get_if<ConfigCopied>(&record)) {
            deployment.acceptConfig(copied->document);
            return;
        }
        if (const auto *copied = std::get_if<EvacuationsCopied>(&record)) {
            deployment.acceptEvacuationsCopy(*copied);
            return;
        }
        if (const auto *silence = std::get_if<MinionSilence>(&record)) {
            jobTable.applySilence(*silence, bootMillis());
            return;
        }
        if (const auto *change = std::get_if<UnitChanged>(&record)) {
            if (const JobEntry *entry = jobTable.find(change->unit.job); entry != nullptr && journal.isLoaded()) {
                times.observe(entry->job, *change, bootMillis());
            }
        }
        applyToBook(record);
        if (!planner) {
            return;
        }
        if (jobTable.planner().epoch > planner->epoch()) {
            loseLeadership("superseded");
        } else if (const auto *submitted = std::get_if<StepJobSubmitted>(&record)) {
            planner->jobChanged(submitted->job.id);
        } else if (const auto *cancelled = std::get_if<StepJobCancelled>(&record)) {
            planner->jobChanged(cancelled->job);
        }
    }

    void applyToBook(const JobRecord &record)
    {
        const auto *change = std::get_if<UnitChanged>(&record);
        const JobEntry *entry = change == nullptr ? nullptr : jobTable.find(change->unit.job);
        const bool lived = entry != nullptr && entry->live();
        jobTable.apply(record);
        if (const auto *submitted = std::get_if<StepJobSubmitted>(&record); submitted != nullptr && !loading) {
            jobTable.setAccepted(submitted->job.id, bootMillis());
        }
        if (lived && !entry->live() && journal.isLoaded()) {
            metrics.record(JobStage::Shown, wallMillis() - entry->job.submittedMs);
        }
    }

    void ownRecordStored(const JobRecord &record)
    {
        applyRecord(record);
    }

    /** @return the time of day in milliseconds since 1970, without its jumps. */
    [[nodiscard]] std::int64_t wallNow() const
    {
        return wallClock.at(bootMillis());
    }

    std::function<Millis()> readDelay()
    {
        return [this] { return journal.lastReadDelay(); };
    }

    // --- Store ---

    [[nodiscard]] StoreEvidence storeEvidence() const
    {
        return {journal.failures(), journal.silence(), journal.shortReadDelay()};
    }

    /** @return where the planner takes records of other nodes, unless it is this node. */
    [[nodiscard]] std::optional<Endpoint> relayPeer() const
    {
        const PlannerAnnouncement &announced = jobTable.planner();
        const auto peer = Endpoint::parse(announced.peers);
        const bool usable = peer && !announced.resigned && announced.node != settings.node.value();
        return usable ? std::optional(*peer) : std::nullopt;
    }

    /** Appends records that another node has passed to this one. */
    Asio::awaitable<AppendOutcome> appendRelayed(std::vector<StoredRecord> records, TimePoint deadline)
    {
        if (healthOf(storeEvidence()) == StoreHealth::Lost || draining) {
            co_return AppendOutcome::NotStored;
        }
        const TimePoint attempt = deadline - JournalWriter::ANSWER_MARGIN;
        const AppendOutcome outcome =
            co_await writer->append(records, std::max(attempt, Clock::now() + MIN_RELAY_TIME));
        if (outcome == AppendOutcome::Stored) {
            applyRecords(records);
        }
        co_return outcome;
    }

    [[nodiscard]] std::string peersAddress() const
    {
        return settings.peers ? settings.peers->toString() : "";
    }

    // --- Leadership ---

    static Asio::awaitable<void> clockLoop(Parts &parts)
    {
        for (;;) {
            parts.loopClock.tick(bootMillis());
            co_await sleepFor(Millis(LoopClock::TICK_INTERVAL_MS));
        }
    }

    static Asio::awaitable<void> tickLoop(Parts &parts)
    {
        for (;;) {
            co_await sleepFor(TICK_INTERVAL);
            parts.wallClock.observe(wallMillis(), bootMillis());
            if (parts.planner) {
                parts.planner->tick();
            } else if (!parts.claiming && parts.shouldClaim()) {
                parts.claiming = true;
                co_await parts.claim();
                parts.claiming = false;
            }
        }
    }

    /**
     * @return true if the planner has been silent for the time-out of this node. Unless the role is vacant, silence
     * counts only since this node has been reading the journal without failures.
     */
    [[nodiscard]] bool shouldClaim() const
    {
        const std::int64_t now = bootMillis();
        if (!ready() || !claimBackoff.mayClaim(now) || journal.overdue() > MAX_CLAIM_OVERDUE) {
            return false;
        }
        Candidacy candidacy;
        candidacy.first = jobTable.planner().epoch.value() == 0;
        candidacy.resigned = jobTable.planner().resigned;
        candidacy.readDelayMs = journal.lastReadDelay().count();
        candidacy.milliCores = settings.milliCores;
        candidacy.strongestMilliCores = jobTable.strongestMilliCores();
        candidacy.jitter = static_cast<std::uint32_t>(stableHash(settings.node.value()) % JITTER_RANGE);
        std::int64_t silentSinceMs = std::max(startedMs, lastPlannerRecordMs);
        if (!candidacy.first && !candidacy.resigned) {
            silentSinceMs = std::max(silentSinceMs, journal.healthySinceMs());
        }
        return now - silentSinceMs >= claimTimeoutMs(candidacy);
    }

    Asio::awaitable<void> claim()
    {
        const Epoch epoch = epochAfter(jobTable.planner().epoch, random());
        logEvent(LogLevel::Info, "planner-claim",
                 {{"epoch", epoch.value()},
                  {"previous", jobTable.planner().epoch.value()},
                  {"previous_node", jobTable.planner().node},
                  {"silent_ms", bootMillis() - lastPlannerRecordMs}});
        ownLeadership->claimBegun(epoch);
        Producer producer {producerName(), epoch, 1};
        AppendOutcome outcome = AppendOutcome::Conflict;
        const std::int64_t silentSinceMs = lastPlannerRecordMs;
        for (int i = 0; i < CLAIM_ATTEMPTS && outcome == AppendOutcome::Conflict; ++i) {
            // The expected offset lets only the first of rival claims succeed, and makes a delayed one fail.
            const std::optional<Offset> end = co_await endIfPlannerIsSilent(silentSinceMs);
            if (!end) {
                break;
            }
            std::vector<StoredRecord> records;
            const std::int64_t now = bootMillis();
            records.push_back(encodeRecord(
                PlannerAnnouncement {epoch, settings.node.value(), false, settings.milliCores, peersAddress(),
                                     Succession::listed(succession.priorsOfNext(now), now)}));
            outcome = co_await platform.store->append(Topic::Journal, std::move(records), producer, end,
                                                      Clock::now() + CLAIM_TIMEOUT);
        }
        bool won = (outcome == AppendOutcome::Stored || outcome == AppendOutcome::Unknown) && !draining;
        if (won) {
            won = co_await catchUpTo(epoch);
        }
        if (won) {
            won = co_await loadMinions();
        }
        if (!won) {
            ownLeadership->ended(bootMillis());
            journal.setMinInterval(FOLLOWER_READ_INTERVAL);
            metrics.count(StepEvent::Claim, toString(outcome));
            claimBackoff.failed(bootMillis(), static_cast<std::uint32_t>(random() % JITTER_RANGE));
            logEvent(LogLevel::Info, "planner-claim-failed",
                     {{"epoch", epoch.value()}, {"outcome", toString(outcome)}});
            co_return;
        }
        metrics.count(StepEvent::Claim, "won");
        claimBackoff.succeeded();
        auto claimWriter = JournalWriter::create(io, *platform.store, producer, readDelay());
        auto statusWriter =
            JournalWriter::create(io, *platform.store, Producer {producerName(), epoch, 0}, readDelay(), Topic::Status);
        planner =
            StepPlanner::begin({io,
                                *platform.store,
                                *platform.minionControl,
                                platform.oracle.get(),
                                platform.machines.get(),
                                *platform.codec,
                                jobTable,
                                times,
                                metrics,
                                [this] { return deployment.config(); },
                                [this]() -> const ConfigDocument & { return deployment.document(); },
                                [this]() -> const std::map<WaveNumber, UpkeepWave> & { return deployment.waves(); },
                                [this]() -> const PlaceEvacuations & { return deployment.evacuations(); },
                                [this] { return wallNow(); },
                                [this] {
                                    return Freshness {minionTopic->currentAsOfMs(), journal.currentAsOfMs()};
                                },
                                settings.node.value(),
                                peersAddress(),
                                settings.milliCores,
                                settings.endedJobRetention,
                                settings.maxLease,
                                settings.speedUse,
                                settings.minionDrain - ARRIVAL_RESERVE,
                                [this](const char *reason) { loseLeadership(reason); },
                                succession.before(epoch)},
                               claimWriter, statusWriter, epoch, deployment.minions());
        for (const PriorPlanner &prior : succession.before(epoch).value_or(std::vector<PriorPlanner>())) {
            Asio::co_spawn(io, seekPriorRenewalsEnd(*this, planner, prior), Asio::detached);
        }
    }

    /** Asks the node of an earlier planner when that one has ceased to renew leases, as long as it matters. */
    static Asio::awaitable<void> seekPriorRenewalsEnd(Parts &parts, std::shared_ptr<StepPlanner> successor,
                                                      PriorPlanner prior)
    {
        const auto peer = Endpoint::parse(prior.peers);
        const bool isOwn = prior.node == parts.settings.node.value();
        while ((isOwn || peer) && successor->seeksPriorRenewalsEnd(prior.epoch)) {
            std::optional<Millis> ago;
            if (isOwn) {
                ago = parts.renewalsEndedAgo(prior.epoch); // by an earlier process, or before another planner led
            } else {
                ago = co_await askForRenewals(parts.peerPool, *peer, prior.node, prior.epoch, INQUIRY_TIMEOUT);
            }
            if (ago) {
                successor->priorRenewalsEnded(prior.epoch, bootMillis() - ago->count());
                co_return;
            }
            co_await sleepFor(INQUIRY_INTERVAL);
        }
    }

    /** @return how long ago the planner of @p epoch, of this node, has ceased to renew; nothing if it has not. */
    [[nodiscard]] std::optional<Millis> renewalsEndedAgo(Epoch epoch) const
    {
        const auto endMs = ownLeadership ? ownLeadership->renewalsEndMs(epoch) : std::nullopt;
        return endMs ? std::optional(Millis(bootMillis() - *endMs)) : std::nullopt;
    }

    /**
     * Reads what the journal has beyond the job table. A follower reads in intervals, in which callers' records are
     * appended to a busy journal, so that a claim at the end that it knows would always be in conflict.
     * @return the end of the journal; nothing if a planner has written to it since @p silentSinceMs or if it cannot be
     * read
     */
    Asio::awaitable<std::optional<Offset>> endIfPlannerIsSilent(std::int64_t silentSinceMs)
    {
        const Offset from = journal.next();
        ReadResult rest;
        try {
            rest = co_await platform.store->read(Topic::Journal, from, Millis(0), CLAIM_READ_KB);
        } catch (const StoreError &) {
            co_return std::nullopt;
        }
        const bool complete = !rest.expired && from.value() + rest.records.size() == rest.end.value();
        const bool heard = std::any_of(rest.records.begin(), rest.records.end(), [](const StoredRecord &record) {
            const auto decoded = decodeRecord(record.key, record.value);
            return decoded && isFromPlanner(*decoded);
        });
        const bool silent = !heard && lastPlannerRecordMs == silentSinceMs; // the follower may have read on meanwhile
        co_return complete &&silent ? std::optional(rest.end) : std::nullopt;
    }

    /**
     * Waits until the job table contains all records up to the claim of @p epoch.
     * @return false if that fails, or if the claim is of another node that has drawn the same epoch
     */
    Asio::awaitable<bool> catchUpTo(Epoch epoch)
    {
        const TimePoint deadline = Clock::now() + CLAIM_TIMEOUT;
        journal.setMinInterval(PLANNER_READ_INTERVAL);
        while (jobTable.planner().epoch < epoch && Clock::now() < deadline) {
            co_await sleepFor(CLAIM_POLL_INTERVAL);
        }
        co_return jobTable.planner().epoch == epoch &&jobTable.planner().node == settings.node.value();
    }

    /** Starts following the minions topic, which only a planner needs. @return false on time-out */
    Asio::awaitable<bool> loadMinions()
    {
        if (!minionTopic) {
            minionTopic = std::make_unique<TopicFollower>(io, *platform.store, Topic::Minions, minionForwarder,
                                                          MINIONS_READ_WAIT, loopClock);
            minionTopic->setMinInterval(MINIONS_READ_INTERVAL);
            minionTopic->start();
        }
        const TimePoint deadline = Clock::now() + CLAIM_TIMEOUT;
        while (!deployment.minionsLoaded() && Clock::now() < deadline) {
            co_await sleepFor(CLAIM_POLL_INTERVAL);
        }
        co_return deployment.minionsLoaded();
    }

    void loseLeadership(const char *reason)
    {
        if (!planner) {
            return;
        }
        logEvent(LogLevel::Warning, "leadership-lost", {{"reason", reason}});
        planner->stop();
        planner.reset();
        ownLeadership->ended(bootMillis());
        journal.setMinInterval(FOLLOWER_READ_INTERVAL);
        // The job table may contain decisions that were never journaled. If they were, they are read again.
        jobTable.discardUnstored();
        journal.reload();
    }

    // --- Signals ---

    void awaitSignal()
    {
        signals.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                reloadSettings();
            } else {
                drain();
            }
            awaitSignal();
        });
    }

    void reloadSettings()
    {
        const auto reread = NodeSettings::fromFile(settingsPath);
        if (!reread) {
            logEvent(LogLevel::Error, "settings-refused",
                     {{"path", reread.errors().front().path}, {"error", reread.errors().front().message}});
            return;
        }
        settings.drainLimit = reread->drainLimit;
        logEvent(LogLevel::Info, "settings-reloaded", {{"drain_limit_ms", std::int64_t(settings.drainLimit.count())}});
    }

    void drain()
    {
        if (draining) {
            return;
        }
        draining = true;
        logEvent(LogLevel::Info, "drain-begun", {{"leading", planner ? "yes" : "no"}});
        Asio::co_spawn(io, drainAndStop(*this), Asio::detached);
    }

    static Asio::awaitable<void> drainAndStop(Parts &parts)
    {
        const TimePoint deadline = Clock::now() + parts.settings.drainLimit - EXIT_MARGIN;
        if (parts.planner) {
            // The job table is kept, since callers still query this node for a while.
            parts.planner->resign([&parts] {
                parts.planner.reset();
                parts.ownLeadership->ended(bootMillis());
                parts.journal.setMinInterval(FOLLOWER_READ_INTERVAL);
                parts.jobTable.discardUnstored();
                parts.journal.reload();
            });
        }
        co_await sleepFor(DRAIN_NOTICE);
        parts.callers->drain();
        while (Clock::now() < deadline && (parts.callers->inProgress() > 0 || parts.planner)) {
            co_await sleepFor(TICK_INTERVAL);
        }
        logEvent(LogLevel::Info, "stopped", {{"cut", std::uint64_t(parts.callers->inProgress())}});
        parts.io.stop();
    }

    static constexpr std::size_t AGE_SAMPLES = 15;
    static constexpr Millis MIN_RELAY_TIME {300};
    static constexpr Millis MAX_CLAIM_OVERDUE {50}; // a store that answers late may hide the planner's records
    static constexpr Millis CLAIM_TIMEOUT {2'000};
    static constexpr Millis INQUIRY_TIMEOUT {500};
    static constexpr Millis INQUIRY_INTERVAL {200}; // a node that is started again answers within about as much
    static constexpr Millis CLAIM_POLL_INTERVAL {5};
    static constexpr int CLAIM_ATTEMPTS = 6;
    static constexpr std::size_t CLAIM_READ_KB = 256;

    Asio::io_context &io;
    NodeSettings settings;
    std::string settingsPath;
    const ListenerShares shares = ListenerShares::ofProcess(settings.callerConnections, PEER_CONNECTIONS);
    const std::shared_ptr<InputBudget> inputBudget = InputBudget::create();
    Platform platform;
    JobTable jobTable;
    RunTimes times;
    RecordForwarder journalForwarder;
    DeploymentView deployment;
    RecordForwarder configForwarder;
    RecordForwarder minionForwarder;
    LoopClock loopClock;
    TopicFollower journal;
    TopicFollower configTopic;
    std::unique_ptr<TopicFollower> minionTopic;
    std::shared_ptr<JournalWriter> writer;
    StepMetrics metrics;
    HttpPool peerPool;
    JournalRelay relay;
    JobApi jobApi;
    RelayReceiver relayReceiver;
    RenewalInquiryReceiver inquiries;
    OperatorApi operators;
    std::shared_ptr<StepPlanner> planner;
    Asio::signal_set signals;
    std::mt19937 random;
    std::unique_ptr<HttpServer> callers;
    std::unique_ptr<HttpServer> readyServer;
    std::unique_ptr<HttpServer> peerServer; ///< null if this node takes no records of others
    SteadyWallClock wallClock;
    bool loading = false; ///< the newest record of each key is being applied
    std::int64_t startedMs = 0;
    std::int64_t lastPlannerRecordMs = 0;
    Succession succession {RENEWAL_WINDOW_MS, LAST_LEASE_SPAN_MS};
    std::optional<OwnLeadership> ownLeadership; ///< empty until the listeners are open
    ClaimBackoff claimBackoff;
    bool claiming = false;
    bool draining = false;
};

std::unique_ptr<StepNode> StepNode::start(Asio::io_context &io, const NodeSettings &settings, std::string settingsPath,
                                          Platform platform)
{
    auto parts = std::make_unique<Parts>(io, settings, std::move(settingsPath), std::move(platform));
    parts->start();
    return std::unique_ptr<StepNode>(new StepNode(std::move(parts)));
}

StepNode::StepNode(std::unique_ptr<Parts> parts)
    : m_parts(std::move(parts))
{
}

StepNode::~StepNode() = default;

} // namespace Papaya
