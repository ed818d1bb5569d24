#include "process/requestservice.h"

#include "base/digest.h"
#include "process/callerauth.h"
#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <charconv>

namespace Papaya
{

namespace
{

constexpr std::size_t REQUEST_ID_BYTES = 12;
constexpr std::size_t MAX_KEY_LENGTH = 128;
constexpr double RETRY_SHARE = 0.1; // retries earned by each success
constexpr double RETRY_RESERVE = 10;
constexpr double HEDGE_SHARE = 0.05;
constexpr double HEDGE_RESERVE = 5;
constexpr Millis ASSUMED_RUN {20}; // before a template's own runs have been measured
constexpr Millis MIN_ATTEMPT {50};
constexpr Millis MIN_HEDGE_DELAY {5};
constexpr int ATTEMPT_P95_FACTOR = 4;
constexpr Millis BUSY_PAUSE {3};         // before the minions are tried again after all that were tried were busy
constexpr std::size_t BUSY_TRIES = 3;    // busy minions tried between two pauses
constexpr std::size_t MAX_LOST_KEPT = 2; // retries of a request that lost kept connections pay for
constexpr int FIRST_FAILURE_STATUS = 500;

RetryReason toRetryReason(RunFailure failure)
{
    switch (failure) {
    case RunFailure::Unreachable:
        return RetryReason::Unreachable;
    case RunFailure::Busy:
        return RetryReason::Busy;
    case RunFailure::Timeout:
        return RetryReason::Timeout;
    case RunFailure::Malformed:
        return RetryReason::Malformed;
    case RunFailure::CrossedAnswer:
        return RetryReason::CrossedAnswer;
    default:
        return RetryReason::Closed;
    }
}

bool isGoodAnswer(const RunResult &result)
{
    return result.outcome == RunOutcome::Answered && result.status < FIRST_FAILURE_STATUS;
}

bool isPrintable(const std::string &key)
{
    return std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
}

} // namespace

RequestService::TemplateState::TemplateState()
    : retries(RETRY_SHARE, RETRY_RESERVE)
    , hedges(HEDGE_SHARE, HEDGE_RESERVE)
{
}

struct RequestService::Race {
    struct FinishedRun {
        RunResult result;
        Duration time {0};
    };

    explicit Race(Asio::any_io_executor strand)
        : executor(std::move(strand))
        , waiter(Waiter::create(executor))
    {
    }

    Asio::any_io_executor executor;
    std::shared_ptr<Waiter> waiter; ///< replaced before each wait
    std::vector<FinishedRun> finished;
    std::size_t pending = 0;
    std::set<MinionId> tried;
    std::size_t busyTries = 0;
    std::size_t lostKept = 0;       ///< runs that were lost with a kept connection
    std::optional<RunResult> worst; ///< what is told if nothing better comes
};

RequestService::RequestService(Asio::io_context &io, ConfigService &config, ClaimService &claims, AdmissionGate &gate,
                               MinionPool &minions, MinionClient &client, Metrics &metrics)
    : m_io(io)
    , m_config(config)
    , m_claims(claims)
    , m_gate(gate)
    , m_minions(minions)
    , m_client(client)
    , m_metrics(metrics)
{
}

std::optional<Refusal> RequestService::prepare(const HttpRequest &request, const std::string &templateName,
                                               Context &context)
{
    context.arrival = Clock::now();
    context.id = RequestId("r-" + randomHex(REQUEST_ID_BYTES));
    context.config = m_config.config();
    if (context.config == nullptr) {
        return Refusal::NotReady;
    }
    const CallerIdentity identity = identifyCaller(request, *context.config);
    if (identity.refusal) {
        return identity.refusal;
    }
    context.team = identity.team;
    context.caller = identity.caller;
    context.templateName = TemplateName(templateName);
    context.work = context.config->templateNamed(context.templateName);
    if (context.work == nullptr || context.work->team != context.team) {
        context.work = nullptr;
        return Refusal::UnknownTemplate;
    }
    if (context.work->kind != WorkKind::Request) {
        return Refusal::WrongKind;
    }
    Millis allowed = context.work->deadline;
    const std::string &asked = request.fields.get(Field::DEADLINE_MS);
    if (!asked.empty()) {
        std::int64_t number = 0;
        const auto [end, status] = std::from_chars(asked.data(), asked.data() + asked.size(), number);
        if (status != std::errc {} || end != asked.data() + asked.size() || number <= 0) {
            return Refusal::BadDeadline;
        }
        allowed = std::min(allowed, Millis(number));
    }
    context.deadline = context.arrival + allowed;
    const std::string &key = request.fields.get(Field::IDEMPOTENCY_KEY);
    if (request.fields.has(Field::IDEMPOTENCY_KEY)
        && (key.empty() || key.size() > MAX_KEY_LENGTH || !isPrintable(key))) {
        return Refusal::KeyNotAllowed;
    }
    context.key = IdempotencyKey(key);
    context.contentType = request.fields.get(Field::CONTENT_TYPE);
    context.body = request.body;
    return std::nullopt;
}

Asio::awaitable<HttpResponse> RequestService::handle(const HttpRequest &request, const std::string &templateName)
{
    Context context;
    Ending ending;
    ending.refusal = prepare(request, templateName, context);
    if (!ending.refusal) {
        const bool keyed = !context.key.value().empty() && !context.work->idempotent;
        if (keyed) {
            ending = co_await serveKeyed(context);
        } else {
            ending = co_await serve(context);
        }
    }
    co_return respond(context, std::move(ending));
}

HttpResponse RequestService::respond(const Context &context, Ending ending)
{
    HttpResponse response;
    if (ending.refusal) {
        m_metrics.count(*ending.refusal);
        response = refusalResponse(*ending.refusal);
    } else {
        m_metrics.count(ending.replayed ? Counter::AnswersReplayed : Counter::RequestsAnswered);
        response.status = ending.answer.status;
        response.fields.set(Field::OUTCOME, toString(Outcome::Done));
        if (!ending.answer.contentType.empty()) {
            response.fields.set(Field::CONTENT_TYPE, ending.answer.contentType);
        }
        if (ending.replayed) {
            response.fields.set(Field::REPLAYED, "1");
        }
        response.body = std::move(ending.answer.body);
    }
    response.fields.set(Field::REQUEST, context.id.value());
    const Duration latency = Clock::now() - context.arrival;
    if (context.work != nullptr) {
        m_metrics.recordLatency(context.work->urgency, latency);
    }
    logEvent(LogLevel::Debug, "request-ended",
             {{"request", context.id.value()},
              {"team", context.team.value()},
              {"template", context.templateName.value()},
              {"status", std::int64_t(response.status)},
              {"reason", ending.refusal ? infoOf(*ending.refusal).code : "answered"},
              {"ms", toMillis(latency)}});
    return response;
}

Asio::awaitable<RequestService::Ending> RequestService::serveKeyed(Context &context)
{
    Ending ending;
    if (!m_claims.ready()) {
        ending.refusal = Refusal::NotReady;
        co_return ending;
    }
    const ClaimKey key {context.team, context.key};
    const std::string digest = sha256Hex(context.templateName.value() + "\n" + context.body);
    while (true) {
        // 1. A key that is known to be taken needs no record of our own.
        AppendStatus status = AppendStatus::Void;
        if (!m_claims.find(key)) {
            ClaimRecord record {key, context.id, digest};
            status = co_await m_claims.claim(std::move(record), context.deadline);
        }
        // 2. The owner of the key answers for everyone.
        if (status == AppendStatus::Void) {
            bool released = false;
            ending = co_await followOwner(context, key, digest, released);
            if (released && Clock::now() < context.deadline) {
                continue;
            }
            co_return ending;
        }
        // 3. A claim that may still turn up is given back; this request will not run in any case.
        if (status != AppendStatus::Applied) {
            if (status == AppendStatus::Unknown) {
                m_claims.release(ClaimRelease {key, context.id});
            }
            ending.refusal = Refusal::LogOut;
            co_return ending;
        }
        break;
    }
    // 4. The key is ours: run, and record what came of it.
    ending = co_await serve(context);
    if (!ending.refusal) {
        m_claims.recordOutcome(ClaimOutcome {key, context.id, ending.answer});
    } else if (infoOf(*ending.refusal).outcome == Outcome::NotRun) {
        m_claims.release(ClaimRelease {key, context.id});
    } else {
        m_claims.recordOutcome(ClaimOutcome {key, context.id, KeptAnswer {}});
    }
    co_return ending;
}

Asio::awaitable<RequestService::Ending> RequestService::followOwner(Context &context, ClaimKey key, std::string digest,
                                                                    bool &released)
{
    Ending ending;
    const auto executor = co_await Asio::this_coro::executor;
    while (true) {
        auto waiter = m_claims.progress().subscribe(executor);
        const auto claim = m_claims.find(key);
        if (!claim) {
            released = true;
            ending.refusal = Refusal::DeadlinePassed;
            co_return ending;
        }
        if (claim->bodyDigest != digest) {
            ending.refusal = Refusal::KeyReused;
            co_return ending;
        }
        if (claim->answer) {
            const bool known = claim->answer->status != 0 && !claim->answerDropped;
            if (known) {
                ending.answer = *claim->answer;
                ending.replayed = true;
            } else {
                ending.refusal = Refusal::KeyOutcomeUnknown;
            }
            co_return ending;
        }
        if (!co_await waiter->wait(context.deadline)) {
            ending.refusal = Refusal::KeyOutcomeUnknown;
            co_return ending;
        }
    }
}

Asio::awaitable<RequestService::Ending> RequestService::serve(Context &context)
{
    Ending ending;
    Ticket ticket;
    ticket.id = m_gate.newTicket();
    ticket.team = context.team;
    ticket.caller = context.caller;
    ticket.urgency = context.work->urgency;
    ticket.deadline = context.deadline;
    ticket.expected = expectedTime(context);
    ending.refusal = co_await m_gate.enter(ticket);
    if (ending.refusal) {
        co_return ending;
    }
    const SlotGuard slot(m_gate, ticket.id);
    co_return co_await runWithRetries(context);
}

Duration RequestService::expectedTime(const Context &context)
{
    const std::lock_guard lock(m_mutex);
    return m_templates[context.templateName].latency.median(ASSUMED_RUN);
}

void RequestService::learn(const Context &context, Duration runTime)
{
    const std::lock_guard lock(m_mutex);
    TemplateState &state = m_templates[context.templateName];
    state.latency.add(runTime);
    state.retries.earn();
    state.hedges.earn();
}

TimePoint RequestService::attemptDeadline(const Context &context, TimePoint now)
{
    // A request that may run once has one try, which gets all the time there is.
    if (!context.work->idempotent) {
        return context.deadline;
    }
    const Duration half = (context.deadline - now) / 2;
    const std::lock_guard lock(m_mutex);
    const Duration learned = m_templates[context.templateName].latency.p95(half) * ATTEMPT_P95_FACTOR;
    return now + std::min(half, std::max<Duration>(MIN_ATTEMPT, learned));
}

std::optional<TimePoint> RequestService::hedgeTime(const Context &context, TimePoint now)
{
    if (!context.work->idempotent || context.work->urgency != Urgency::Urgent) {
        return std::nullopt;
    }
    const std::lock_guard lock(m_mutex);
    const Duration delay = m_templates[context.templateName].latency.p95(context.deadline - now);
    return now + std::max<Duration>(MIN_HEDGE_DELAY, delay);
}

bool RequestService::launch(const Context &context, const std::shared_ptr<Race> &race, TimePoint deadline)
{
    const auto minion = m_minions.begin(race->tried);
    if (!minion) {
        return false;
    }
    race->tried.insert(minion->id);
    ++race->pending;
    RunRequest run;
    run.id = context.id;
    run.templateName = context.templateName;
    run.contentType = context.contentType;
    run.body = context.body;
    run.idempotent = context.work->idempotent;
    run.freshConnection = race->lostKept > 0;
    Asio::co_spawn(race->executor, runOnce(*this, race, *minion, std::move(run), deadline), Asio::detached);
    return true;
}

Asio::awaitable<void> RequestService::runOnce(RequestService &self, std::shared_ptr<Race> race, ChosenMinion minion,
                                              RunRequest run, TimePoint deadline)
{
    const TimePoint begin = Clock::now();
    RunResult result = co_await self.m_client.run(minion.address, std::move(run), deadline);
    self.m_minions.finish(minion.id, result);
    --race->pending;
    race->finished.push_back({std::move(result), Clock::now() - begin});
    race->waiter->notify();
}

bool RequestService::mayRetry(const Context &context, Race &race, const RunResult &result, TimePoint now)
{
    const bool safe = context.work->idempotent || result.outcome == RunOutcome::NotRun;
    if (!safe) {
        m_metrics.count(RetryReason::DeniedNotIdempotent);
        return false;
    }
    if (now + expectedTime(context) >= context.deadline) {
        m_metrics.count(RetryReason::DeniedByDeadline);
        return false;
    }
    // A busy minion has done nothing, and a connection that went silent while it was kept is no failure of a minion, so
    // neither is paid for from the budget.
    const bool lostKept = result.keptConnection && result.outcome == RunOutcome::Unknown
                          && result.failure != RunFailure::CrossedAnswer && race.lostKept < MAX_LOST_KEPT;
    race.lostKept += lostKept ? 1U : 0U;
    if (result.failure != RunFailure::Busy && !lostKept) {
        const std::lock_guard lock(m_mutex);
        if (!m_templates[context.templateName].retries.spend()) {
            m_metrics.count(RetryReason::DeniedByBudget);
            return false;
        }
    }
    m_metrics.count(toRetryReason(result.failure));
    return true;
}

Asio::awaitable<bool> RequestService::retry(const Context &context, const std::shared_ptr<Race> &race,
                                            RunFailure failure)
{
    const bool busy = failure == RunFailure::Busy;
    const bool pause = busy && ++race->busyTries % BUSY_TRIES == 0;
    if (!pause && launch(context, race, attemptDeadline(context, Clock::now()))) {
        co_return true;
    }
    // Every minion has been tried. A busy one may have room a moment later, and a failing one beats none.
    race->tried.clear();
    if (busy) {
        co_await sleepFor(BUSY_PAUSE);
    }
    co_return Clock::now() < context.deadline &&launch(context, race, attemptDeadline(context, Clock::now()));
}

Asio::awaitable<RequestService::Ending> RequestService::runWithRetries(Context &context)
{
    Ending ending;
    auto race = std::make_shared<Race>(co_await Asio::this_coro::executor);
    const TimePoint begin = Clock::now();
    if (begin >= context.deadline) {
        ending.refusal = Refusal::DeadlinePassed;
        co_return ending;
    }
    if (!launch(context, race, attemptDeadline(context, begin))) {
        ending.refusal = Refusal::NoMinion;
        co_return ending;
    }
    std::optional<TimePoint> hedgeAt = hedgeTime(context, begin);
    bool mayHaveRun = false;
    while (true) {
        // 1. Waits for a run to end, or for the time of a hedge.
        if (race->finished.empty()) {
            race->waiter = Waiter::create(race->executor);
            const TimePoint until = hedgeAt ? std::min(*hedgeAt, context.deadline) : context.deadline;
            co_await race->waiter->wait(until);
        }
        const TimePoint now = Clock::now();
        if (race->finished.empty()) {
            if (now >= context.deadline) {
                // The minion client ends at the same deadline; its result is unknown by then.
                ending.refusal = Refusal::RunUnknown;
                co_return ending;
            }
            hedgeAt.reset();
            bool allowed = m_gate.queued() == 0;
            if (allowed) {
                const std::lock_guard lock(m_mutex);
                allowed = m_templates[context.templateName].hedges.spend();
            }
            if (allowed && launch(context, race, context.deadline)) {
                m_metrics.count(Counter::HedgesSent);
            }
            continue;
        }
        RunResult result = std::move(race->finished.back().result);
        const Duration runTime = race->finished.back().time;
        race->finished.pop_back();
        // 2. A good answer ends the request, whichever run it came from.
        if (isGoodAnswer(result)) {
            learn(context, runTime);
            ending.answer = {result.status, std::move(result.contentType), std::move(result.body)};
            co_return ending;
        }
        mayHaveRun |= result.outcome != RunOutcome::NotRun;
        // 3. Otherwise another minion is tried if that is safe, in time and within the budget.
        bool again = mayRetry(context, *race, result, now);
        if (again) {
            again = co_await retry(context, race, result.failure);
        }
        if (!race->worst || result.outcome == RunOutcome::Answered) {
            race->worst = std::move(result);
        }
        if (again || race->pending > 0 || !race->finished.empty()) {
            continue;
        }
        // 4. Nothing is left to wait for. A failing answer of a minion is an answer all the same.
        if (race->worst->outcome == RunOutcome::Answered) {
            ending.answer = {race->worst->status, std::move(race->worst->contentType), std::move(race->worst->body)};
        } else if (mayHaveRun) {
            ending.refusal = Refusal::RunUnknown;
        } else if (race->worst->failure == RunFailure::Busy) {
            ending.refusal = Refusal::MinionsBusy;
        } else {
            ending.refusal = Refusal::MinionsUnreachable;
        }
        co_return ending;
    }
}

} // namespace Papaya
