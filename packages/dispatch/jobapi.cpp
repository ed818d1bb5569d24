#include "dispatch/jobapi.h"

#include "dispatch/boottime.h"
#include "dispatch/jobspecreader.h"
#include "process/logging.h"

#include <algorithm>
#include <charconv>

namespace Papaya
{

namespace
{

constexpr Millis DEFAULT_DEADLINE {3'000};
constexpr Millis STORE_TIMEOUT {700};    // the caller may retry on another node; more while the store is slow
constexpr Millis RESPONSE_MARGIN {150};  // for the answer to reach the caller before its deadline
constexpr Millis PEER_RECORD_WAIT {500}; // for a record that another node has just stored
constexpr Millis PEER_RECORD_POLL_INTERVAL {20};
constexpr Millis HOLD_POLL_INTERVAL {20};
constexpr Millis MAX_HOLD {800};          // then the caller may try another node, to which the store may be back
constexpr Millis SLOW_RELAY_TIME {2'400}; // for a record to be appended by another node while the store is slow
constexpr Millis MAX_REFRESH {120};       // a state may be older by that much
constexpr Millis STORED_POLL_INTERVAL {5};
constexpr const char *RETRY_AFTER_SECONDS = "1";
constexpr const char *RETRY_ELSEWHERE = "0"; // another node may reach the store

HttpResponse makeResponse(int status, std::string body = {})
{
    HttpResponse response;
    response.status = status;
    response.body = std::move(body);
    if (!response.body.empty()) {
        response.fields.set(Field::CONTENT_TYPE, "application/json");
    }
    return response;
}

HttpResponse makeErrorResponse(int status, std::string_view code)
{
    HttpResponse response = makeResponse(status, R"({"error":{"code":")" + std::string(code) + "\"}}");
    if (status == 503 || status == 429) {
        response.fields.set(Field::RETRY_AFTER, RETRY_AFTER_SECONDS);
    }
    if (status == 503 || status == 504) {
        // Another node may reach the store; after a reconnect, the balancer sends the caller to one that is ready.
        response.fields.set("Connection", "close");
    }
    return response;
}

} // namespace

JobApi::JobApi(Context context)
    : m_context(std::move(context))
{
}

Millis JobApi::timeLeft(const HttpRequest &request) const
{
    const std::string &text = request.fields.get(m_context.codec.deadlineHeader());
    std::int64_t remaining = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), remaining);
    return error == std::errc() && remaining > 0 ? Millis(remaining) : Millis(0);
}

JobApi::CallerTime JobApi::timeOf(const HttpRequest &request) const
{
    const Millis announced = timeLeft(request);
    const Millis callerTimeout = announced.count() > 0 ? announced : DEFAULT_DEADLINE;
    const Millis longest = std::max(callerTimeout - RESPONSE_MARGIN, callerTimeout / 2);
    // A node that cannot read the journal may be cut off alone, and the caller does better elsewhere.
    const Millis slowStore = m_context.upToDate() ? m_context.writer->attemptTimeout() : STORE_TIMEOUT;
    const Millis timeout = std::max(STORE_TIMEOUT, std::min(slowStore, longest - JournalWriter::ANSWER_MARGIN));
    const TimePoint now = Clock::now();
    return {now + std::min(timeout, longest), now + longest, false};
}

HttpResponse JobApi::refuse(int status, std::string_view code) const
{
    m_context.metrics.count(StepEvent::Refusal, code);
    return makeErrorResponse(status, code);
}

Asio::awaitable<HttpResponse> JobApi::handle(HttpRequest request)
{
    HttpResponse response = co_await respond(request);
    m_context.metrics.count(StepEvent::Answer, std::to_string(response.status));
    co_return response;
}

Asio::awaitable<HttpResponse> JobApi::respond(const HttpRequest &request)
{
    const DeploymentConfig *config = m_context.config();
    if (config == nullptr) {
        co_return refuse(503, "no-configuration");
    }
    const std::string path(request.path());
    const QueueConfig *queue = config->route(request.fields.get("Host"), path);
    if (queue == nullptr) {
        co_return refuse(404, "no-such-queue");
    }
    TeamName team;
    if (!queue->authExempt) {
        const auto found = config->teamByKey.find(request.fields.get(m_context.codec.keyHeader()));
        if (found == config->teamByKey.end()) {
            co_return refuse(401, "unknown-key");
        }
        team = found->second;
    }
    const std::string rest = path.substr(queue->pathPrefix.size());
    if (rest.empty() && request.method == "GET") {
        co_return makeResponse(200, m_context.codec.encodeWaiting(m_context.jobTable.waiting(queue->name)));
    }
    if (!isJobId(rest)) {
        co_return refuse(400, "no-job-id");
    }
    const JobId id(rest);
    if (request.method == "POST") {
        co_return co_await submit(*queue, team, id, request);
    }
    if (request.method == "GET") {
        co_return co_await state(id);
    }
    if (request.method == "DELETE") {
        co_return co_await cancel(id, timeOf(request));
    }
    co_return refuse(405, "method-not-allowed");
}

Asio::awaitable<HttpResponse> JobApi::submit(const QueueConfig &queue, const TeamName &team, JobId id,
                                             const HttpRequest &request)
{
    CallerTime time = timeOf(request);
    time.firstAttempt = m_attempts.isFirst(queue.name, id, timeLeft(request), queue.callerTimeout);
    if (m_context.jobTable.find(id) != nullptr) {
        co_return makeResponse(200); // submitted before
    }
    auto spec = m_context.codec.decodeJob(request.body);
    if (!spec) {
        logEvent(LogLevel::Info, "job-malformed", {{"job", id.value()}, {"error", spec.errors().front().message}});
        co_return refuse(400, "malformed");
    }
    co_return co_await accept(queue, team, id, std::move(*spec), time);
}

Asio::awaitable<HttpResponse> JobApi::accept(const QueueConfig &queue, const TeamName &team, JobId id, JobSpec spec,
                                             CallerTime time)
{
    if (m_context.jobTable.find(id) != nullptr) {
        co_return makeResponse(200); // submitted before
    }
    StepJob job;
    job.id = id;
    job.queue = queue.name;
    job.service = queue.service;
    job.team = team;
    job.spec = std::move(spec);
    job.submittedMs = m_context.wallNow();
    job.priority = queue.priority;
    job.attempts = queue.attempts;
    job.stretch = queue.stretch;
    job.targetMs = queue.targetMs;
    std::uint64_t tasks = 0;
    for (const StepSpec &step : job.spec.steps) {
        tasks += step.count;
    }
    logEvent(LogLevel::Info, "job-received",
             {{"job", id.value()},
              {"queue", queue.name.value()},
              {"priority", std::uint64_t(queue.priority)},
              {"team", team.value()},
              {"tasks", tasks},
              {"gpus", std::int64_t(job.spec.steps.front().need.gpus)},
              {"memory_mb", std::int64_t(job.spec.steps.front().need.memoryMb)},
              {"estimate_ms", std::int64_t(job.spec.steps.front().estimate.count())},
              {"rack", job.spec.steps.front().dataRack.value()},
              {"gang", job.spec.steps.front().gang ? "yes" : "no"},
              {"first", time.firstAttempt ? "yes" : "no"},
              {"time_left_ms", std::chrono::duration_cast<Millis>(time.latest - Clock::now()).count()}});
    JobRecord record = StepJobSubmitted {std::move(job)};
    if (!m_context.writer->fits(encodeRecord(record))) {
        logEvent(LogLevel::Info, "job-too-large", {{"job", id.value()}});
        co_return refuse(400, "job-too-large");
    }
    HttpResponse response = co_await store(std::move(record), time, id, "job-submitted");
    if (response.status == 504) {
        m_attempts.inDoubt(id);
    }
    co_return response;
}

Asio::awaitable<HttpResponse> JobApi::cancel(JobId id, CallerTime time)
{
    JobRecord record = StepJobCancelled {id};
    time.firstAttempt = true; // that an earlier attempt may have cancelled the job makes no refusal false
    HttpResponse response = co_await store(std::move(record), time, id, "job-cancelled");
    // The job may have just been accepted by another node. The record cancels it too, and this node will soon read its
    // submission from the journal.
    const TimePoint waitDeadline = Clock::now() + PEER_RECORD_WAIT;
    while (response.status == 200 && m_context.jobTable.find(id) == nullptr && Clock::now() < waitDeadline) {
        co_await m_context.refresh(PEER_RECORD_POLL_INTERVAL);
        co_await sleepFor(PEER_RECORD_POLL_INTERVAL);
    }
    const bool known = m_context.jobTable.find(id) != nullptr;
    co_return response.status == 200 && !known ? refuse(410, "no-such-job") : response;
}

Asio::awaitable<JobApi::StoreAttempt> JobApi::storeSomehow(std::vector<StoredRecord> records, CallerTime time)
{
    const TimePoint held = std::min(Clock::now() + MAX_HOLD, time.latest);
    RecordSituation situation;
    situation.mayRefuse = time.firstAttempt;
    bool lostForOthers = m_context.relay == nullptr || !m_context.relayTo();
    for (;;) {
        const TimePoint now = Clock::now();
        const std::optional<Endpoint> peer = m_context.relay == nullptr ? std::nullopt : m_context.relayTo();
        const StoreEvidence evidence = m_context.storeEvidence();
        situation.store = healthOf(evidence);
        situation.relayKnown = peer.has_value();
        situation.mayHold = now < held;
        switch (routeRecord(situation)) {
        case RecordRoute::Append: {
            const TimePoint attempt = std::max(time.attempt, std::min(now + STORE_TIMEOUT, time.latest));
            co_return StoreAttempt {co_await m_context.writer->append(std::move(records), attempt), lostForOthers,
                                    evidence};
        }
        case RecordRoute::Relay: {
            const RelayAnswer answer =
                co_await m_context.relay->append(*peer, records, std::min(now + SLOW_RELAY_TIME, time.latest));
            m_context.metrics.count(StepEvent::Relay, toString(answer.outcome));
            if (answer.outcome != AppendOutcome::NotStored) {
                co_return StoreAttempt {answer.outcome, false, evidence};
            }
            situation.relayRefused = true;
            lostForOthers = answer.reached;
            break;
        }
        case RecordRoute::Hold:
            co_await sleepFor(HOLD_POLL_INTERVAL);
            break;
        case RecordRoute::Refuse:
            co_return StoreAttempt {AppendOutcome::NotStored, lostForOthers, evidence};
        }
    }
}

Asio::awaitable<HttpResponse> JobApi::store(JobRecord record, CallerTime time, const JobId &id, const char *event)
{
    const std::int64_t begun = bootMillis();
    std::vector<StoredRecord> records;
    records.push_back(encodeRecord(record));
    const auto [outcome, lostForOthers, evidence] = co_await storeSomehow(std::move(records), time);
    m_context.metrics.count(StepEvent::Store, toString(outcome));
    if (outcome == AppendOutcome::Stored) {
        m_context.onStored(record);
        m_context.metrics.record(JobStage::Stored, bootMillis() - begun);
    }
    logEvent(LogLevel::Info, event,
             {{"job", id.value()}, {"outcome", toString(outcome)}, {"took_ms", bootMillis() - begun}});
    if (outcome != AppendOutcome::Stored) {
        logEvent(LogLevel::Info, "record-not-stored",
                 {{"job", id.value()},
                  {"failed_reads", std::uint64_t(evidence.failures)},
                  {"overdue_ms", evidence.overdue.count()},
                  {"read_delay_ms", evidence.readDelay.count()}});
    }
    HttpResponse response;
    switch (outcome) {
    case AppendOutcome::Stored:
        co_return makeResponse(200);
    case AppendOutcome::NotStored:
        // Of a repeated submission, an earlier attempt may be stored, here or by another node.
        response = time.firstAttempt ? refuse(503, "store-unavailable") : refuse(504, "unknown-outcome");
        response.fields.set(Field::RETRY_AFTER, lostForOthers ? RETRY_AFTER_SECONDS : RETRY_ELSEWHERE);
        co_return response;
    default:
        co_return refuse(504, "unknown-outcome");
    }
}

Asio::awaitable<HttpResponse> JobApi::state(JobId id)
{
    const JobEntry *entry = m_context.jobTable.find(id);
    if (entry == nullptr || entry->live()) {
        co_await m_context.refresh(MAX_REFRESH);
        entry = m_context.jobTable.find(id);
    }
    // A planner may know of an end that is being stored. Callers are not told before, as it may yet be lost.
    const TimePoint waitDeadline = Clock::now() + MAX_REFRESH;
    while (entry != nullptr && !entry->live() && m_context.jobTable.stored(*entry).live()
           && Clock::now() < waitDeadline) {
        co_await sleepFor(STORED_POLL_INTERVAL);
        entry = m_context.jobTable.find(id);
    }
    if (entry != nullptr) {
        co_return makeResponse(200, m_context.codec.encodeState(toString(m_context.jobTable.stored(*entry).state)));
    }
    // A node that is behind in the journal cannot tell that the job does not exist.
    co_return m_context.upToDate() ? refuse(410, "no-such-job") : refuse(503, "journal-unread");
}

} // namespace Papaya
