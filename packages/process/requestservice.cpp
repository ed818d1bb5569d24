#include "process/requestservice.h"

#include "base/digest.h"
#include "process/callerauth.h"
#include "process/logging.h"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <charconv>

namespace Papaya
{

namespace
{

constexpr std::size_t REQUEST_ID_BYTES = 12;
constexpr std::size_t MAX_KEY_LENGTH = 128;

bool isPrintable(const std::string &key)
{
    return std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
}

} // namespace

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
        return Refusal::BadKey;
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
              {"reason", ending.refusal ? refusalInfo(*ending.refusal).code : "answered"},
              {"ms", toMillis(latency)}});
    return response;
}

Asio::awaitable<RequestService::Ending> RequestService::serveKeyed(Context &context)
{
    Ending ending;
    if (!m_claims.ready()) {
        ending.refusal = Refusal::KeyLogUnavailable;
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
        // 3. A claim that may still turn up is given back; this request will not run in any case. Whether an earlier
        // one
        //    with the key has run, nobody can know without the log.
        if (status != AppendStatus::Applied) {
            if (status == AppendStatus::Unknown) {
                m_claims.release(ClaimRelease {key, context.id});
            }
            ending.refusal = Refusal::KeyLogUnavailable;
            co_return ending;
        }
        break;
    }
    // 4. The key is ours: run, and record what came of it.
    ending = co_await serve(context);
    if (!ending.refusal) {
        m_claims.recordOutcome(ClaimOutcome {key, context.id, ending.answer});
    } else if (refusalInfo(*ending.refusal).outcome == Outcome::NotRun) {
        m_claims.release(ClaimRelease {key, context.id});
    } else {
        m_claims.recordOutcome(ClaimOutcome {key, context.id, StoredAnswer {}});
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
    ticket.expectedServiceTime = expectedTime(context);
    ticket.serviceTimeBound = neededTime(context);
    ending.refusal = co_await m_gate.enter(ticket);
    if (ending.refusal) {
        co_return ending;
    }
    const SlotGuard slot(m_gate, ticket.id);
    co_return co_await runWithRetries(context);
}

} // namespace Papaya
