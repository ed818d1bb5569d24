#include "process/jobservice.h"

#include "base/codec.h"
#include "base/digest.h"
#include "base/objectreader.h"
#include "process/logging.h"
#include "version/placement.h"

#include <boost/asio/this_coro.hpp>

#include <charconv>

namespace Papaya
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t JOB_ID_BYTES = 10;
constexpr Millis DEFAULT_APPEND_TIMEOUT {10'000}; // of a submission without a deadline, and of a cancellation
constexpr std::int64_t MAX_DEADLINE_MS = 90LL * 24 * 3'600'000;
constexpr std::int64_t MAX_WAIT_MS = 60'000;
constexpr std::size_t JOBS_PER_PAGE = 200;
constexpr std::size_t MAX_KEY_LENGTH = 128;

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || status != std::errc {} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

Json describe(const Job &job)
{
    Json value {{"job", job.spec.job.value()},    {"template", job.spec.templateName.value()},
                {"state", toString(job.state)},   {"reason", job.reason},
                {"submittedMs", job.submittedMs}, {"attempt", job.attempt}};
    value["outcome"] = isFinal(job.state) ? Json(toString(job.state)) : Json();
    return value;
}

HttpResponse doneResponse(int status, const Json &body)
{
    HttpResponse response = jsonResponse(status, toJson(body));
    response.fields.set(Field::OUTCOME, toString(Outcome::Done));
    return response;
}

HttpResponse acceptedResponse(const Job &job, bool replayed)
{
    HttpResponse response = doneResponse(202, {{"job", job.spec.job.value()}, {"state", toString(job.state)}});
    if (replayed) {
        response.fields.set(Field::REPLAYED, "1");
    }
    return response;
}

} // namespace

JobService::JobService(ConfigService &config, Journal &journal, HostDirectory &hosts, Metrics &metrics)
    : m_config(config)
    , m_journal(journal)
    , m_hosts(hosts)
    , m_metrics(metrics)
{
}

HttpResponse JobService::refuse(Refusal refusal, const std::string &detail, const std::string &path)
{
    m_metrics.count(refusal);
    return refusalResponse(refusal, detail, path);
}

std::optional<CallerIdentity> JobService::authenticate(const HttpRequest &request, HttpResponse &refusal)
{
    const FleetConfigPtr config = m_config.config();
    if (config == nullptr || !m_journal.tail().caughtUp()) {
        refusal = refuse(Refusal::NotReady);
        return std::nullopt;
    }
    CallerIdentity identity = identifyCaller(request, *config);
    if (identity.refusal) {
        refusal = refuse(*identity.refusal);
        return std::nullopt;
    }
    return identity;
}

std::optional<Job> JobService::ownJob(const TeamName &team, const std::string &id) const
{
    return m_journal.read([&](const Ledger &ledger) -> std::optional<Job> {
        const Job *found = ledger.job(JobId(id));
        const bool own = found != nullptr && found->spec.team == team;
        return own ? std::optional<Job>(*found) : std::nullopt;
    });
}

bool JobService::canEverFit(const Shape &shape) const
{
    const auto hosts = m_hosts.hosts();
    FleetModel fleet;
    for (std::size_t i = 0; hosts && i < hosts->hosts.size(); ++i) {
        const Host &host = hosts->hosts[i];
        if (host.kind == HostKind::Worker) {
            fleet.add(WorkerId(host.id), host.place, host.rack, host.resources);
        }
    }
    // Without a list of workers the shape cannot be judged, so the job is accepted.
    return fleet.size() == 0 || fitsEmptyFleet(fleet, shape);
}

Result<JobSubmitted> JobService::parseSubmission(const HttpRequest &request, const FleetConfig &config,
                                                 Refusal &refusal)
{
    const CallerIdentity identity = identifyCaller(request, config);
    if (identity.refusal) {
        refusal = *identity.refusal;
        return Error {};
    }
    refusal = Refusal::BadBody;
    const auto document = parseJson(request.body);
    if (!document) {
        return document.errors();
    }
    Errors errors;
    ObjectReader reader(*document, "", errors);
    JobSubmitted job;
    job.job = JobId("j-" + randomHex(JOB_ID_BYTES));
    job.team = identity.team;
    job.caller = identity.caller;
    job.templateName = TemplateName(reader.text("template", Presence::Required).value_or(""));
    const Json *parameters = reader.object("parameters");
    job.deadline = Millis(reader.integer("deadlineMs", 1, MAX_DEADLINE_MS).value_or(0));
    reader.refuseUnknownKeys();
    if (!errors.empty()) {
        return errors;
    }
    const Template *templateConfig = config.templateNamed(job.templateName);
    if (templateConfig == nullptr || templateConfig->team != job.team) {
        refusal = Refusal::UnknownTemplate;
        return Error {"", "", "template"};
    }
    if (templateConfig->kind != WorkKind::Job) {
        refusal = Refusal::WrongKind;
        return Error {"", "", "template"};
    }
    static const Json NO_PARAMETERS = Json::object();
    const Json &values = parameters == nullptr ? NO_PARAMETERS : *parameters;
    const Errors parameterErrors = templateConfig->checkParameters(values);
    if (!parameterErrors.empty()) {
        refusal = Refusal::BadParameters;
        return parameterErrors;
    }
    job.parametersJson = toJson(values);
    job.urgency = templateConfig->urgency;
    job.restart = templateConfig->restart;
    job.shape = templateConfig->shape;
    job.run = templateConfig->run;
    job.key = request.fields.get(Field::IDEMPOTENCY_KEY);
    if (job.key.size() > MAX_KEY_LENGTH) {
        refusal = Refusal::BadKey;
        return Error {};
    }
    job.bodyDigest = sha256Hex(toJson(*document));
    return job;
}

Asio::awaitable<HttpResponse> JobService::submit(const HttpRequest &request)
{
    const FleetConfigPtr config = m_config.config();
    if (config == nullptr || !m_journal.tail().caughtUp()) {
        co_return refuse(Refusal::NotReady);
    }
    Refusal refusal = Refusal::BadBody;
    const Result<JobSubmitted> parsed = parseSubmission(request, *config, refusal);
    if (!parsed) {
        const Error &firstError = parsed.errors().front();
        co_return refuse(refusal, firstError.message, firstError.path);
    }
    const JobSubmitted &job = *parsed;
    // 1. A submission with a known idempotency key gets the job that the first one created.
    const auto findByKey = [&](const Ledger &ledger) -> std::optional<Job> {
        const Job *known = job.key.empty() ? nullptr : ledger.jobByKey(job.team, job.key);
        return known == nullptr ? std::nullopt : std::optional<Job>(*known);
    };
    std::optional<Job> known = m_journal.read(findByKey);
    AppendStatus status = AppendStatus::Void;
    if (!known) {
        const std::size_t waiting = m_journal.read([&](const Ledger &ledger) { return ledger.waitingJobs(job.team); });
        if (waiting >= config->team(job.team)->limits.queuedJobs) {
            co_return refuse(Refusal::TooManyJobs);
        }
        if (!canEverFit(job.shape)) {
            co_return refuse(Refusal::NeverFits);
        }
        // 2. Appends the job's record; the job exists once the record has been read back from the journal.
        const std::int64_t limit =
            parseNumber(request.fields.get(Field::DEADLINE_MS)).value_or(DEFAULT_APPEND_TIMEOUT.count());
        status = co_await m_journal.append(job, Clock::now() + Millis(std::clamp<std::int64_t>(limit, 1, MAX_WAIT_MS)));
        known = m_journal.read(findByKey);
    }
    if (status == AppendStatus::Applied) {
        logEvent(LogLevel::Info, "job-submitted",
                 {{"job", job.job.value()}, {"team", job.team.value()}, {"template", job.templateName.value()}});
        const auto own = m_journal.read([&](const Ledger &ledger) { return *ledger.job(job.job); });
        co_return acceptedResponse(own, false);
    }
    if (status == AppendStatus::Void && known) {
        co_return known->spec.bodyDigest == job.bodyDigest ? acceptedResponse(*known, true)
                                                           : refuse(Refusal::KeyReused);
    }
    co_return refuse(status == AppendStatus::Unknown ? Refusal::AppendUnknown : Refusal::LogUnavailable);
}

Asio::awaitable<HttpResponse> JobService::status(const HttpRequest &request, const std::string &id)
{
    HttpResponse refusal;
    const auto identity = authenticate(request, refusal);
    if (!identity) {
        co_return refusal;
    }
    const std::int64_t waitMs =
        std::clamp<std::int64_t>(parseNumber(request.query("waitMs")).value_or(0), 0, MAX_WAIT_MS);
    const TimePoint until = Clock::now() + Millis(waitMs);
    const auto executor = co_await Asio::this_coro::executor;
    std::optional<JobState> previousState;
    while (true) {
        auto waiter = m_journal.progress().subscribe(executor);
        const auto job = ownJob(identity->team, id);
        if (!job) {
            co_return refuse(Refusal::NoSuchJob);
        }
        const bool changed = previousState && *previousState != job->state;
        previousState = job->state;
        if (changed || isFinal(job->state) || Clock::now() >= until) {
            co_return doneResponse(200, describe(*job));
        }
        co_await waiter->wait(until);
    }
}

HttpResponse JobService::list(const HttpRequest &request)
{
    HttpResponse refusal;
    const auto identity = authenticate(request, refusal);
    if (!identity) {
        return refusal;
    }
    const JobId after {std::string(request.query("after"))};
    Json jobs = Json::array();
    Json next;
    m_journal.read([&](const Ledger &ledger) {
        for (auto entry = ledger.jobs().upper_bound(after); entry != ledger.jobs().end(); ++entry) {
            if (entry->second.spec.team != identity->team) {
                continue;
            }
            if (jobs.size() == JOBS_PER_PAGE) {
                next = jobs.back()["job"];
                return;
            }
            jobs.push_back(describe(entry->second));
        }
    });
    return doneResponse(200, {{"jobs", std::move(jobs)}, {"next", std::move(next)}});
}

Asio::awaitable<HttpResponse> JobService::cancel(const HttpRequest &request, const std::string &id)
{
    HttpResponse refusal;
    const auto identity = authenticate(request, refusal);
    if (!identity) {
        co_return refusal;
    }
    const auto job = ownJob(identity->team, id);
    if (!job) {
        co_return refuse(Refusal::NoSuchJob);
    }
    // A job that has ended or is being cancelled needs no further record.
    if (!isFinal(job->state) && !job->cancelRequested) {
        CancelRequested record;
        record.job = JobId(id);
        const AppendStatus status = co_await m_journal.append(std::move(record), Clock::now() + DEFAULT_APPEND_TIMEOUT);
        if (status == AppendStatus::NotTaken || status == AppendStatus::Unknown) {
            co_return refuse(status == AppendStatus::Unknown ? Refusal::AppendUnknown : Refusal::LogUnavailable);
        }
    }
    const auto after = ownJob(identity->team, id);
    co_return doneResponse(202, describe(after ? *after : *job));
}

} // namespace Papaya
