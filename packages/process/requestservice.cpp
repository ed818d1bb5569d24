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
    context.templateConfig = context.config->templateNamed(context.templateName);
    if (context.templateConfig == nullptr || context.templateConfig->team != context.team) {
        context.templateConfig = nullptr;
        return Refusal::UnknownTemplate;
    }
    if (context.templateConfig->kind != WorkKind::Request) {
        return Refusal::WrongKind;
    }
    Millis timeLimit = context.templateConfig->deadline;
    const std::string &requestedDeadline = request.fields.get(Field::DEADLINE_MS);
    if (!requestedDeadline.empty()) {
        std::int64_t number = 0;
        const auto [end, status] =
            std::from_chars(requestedDeadline.data(), requestedDeadline.data() + requestedDeadline.size(), number);
        if (status != std::errc {} || end != requestedDeadline.data() + requestedDeadline.size() || number <= 0) {
            return Refusal::BadDeadline;
        }
        timeLimit = std::min(timeLimit, Millis(number));
    }
    context.deadline = context.arrival + timeLimit;
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
    Reply reply;
    reply.refusal = prepare(request, templateName, context);
    if (!reply.refusal) {
        const bool keyed = !context.key.value().empty() && !context.templateConfig->idempotent;
        if (keyed) {
            reply = co_await serveKeyed(context);
        } else {
            reply = co_await serve(context);
        }
    }
    co_return respond(context, std::move(reply));
}

HttpResponse RequestService::respond(const Context &context, Reply reply)
{
    HttpResponse response;
    if (reply.refusal) {
        m_metrics.count(*reply.refusal);
        response = refusalResponse(*reply.refusal);
    } else {
        m_metrics.count(reply.replayed ? Counter::AnswersReplayed : Counter::RequestsAnswered);
        response.status = reply.answer.status;
        response.fields.set(Field::OUTCOME, toString(Outcome::Done));
        if (!reply.answer.contentType.empty()) {
            response.fields.set(Field::CONTENT_TYPE, reply.answer.contentType);
        }
        if (reply.replayed) {
            response.fields.set(Field::REPLAYED, "1");
        }
        response.body = std::move(reply.answer.body);
    }
    response.fields.set(Field::REQUEST, context.id.value());
    const Duration latency = Clock::now() - context.arrival;
    if (context.templateConfig != nullptr) {
        m_metrics.recordLatency(context.templateConfig->urgency, latency);
    }
    logEvent(LogLevel::Debug, "request-ended",
             {{"request", context.id.value()},
              {"team", context.team.value()},
              {"template", context.templateName.value()},
              {"status", std::int64_t(response.status)},
              {"reason", reply.refusal ? refusalInfo(*reply.refusal).code : "answered"},
              {"ms", toMillis(latency)}});
    return response;
}

Asio::awaitable<RequestService::Reply> RequestService::serveKeyed(Context &context)
{
    Reply reply;
    if (!m_claims.ready()) {
        reply.refusal = Refusal::KeyLogUnavailable;
        co_return reply;
    }
    const ClaimKey key {context.team, context.key};
    const std::string digest = sha256Hex(context.templateName.value() + "\n" + context.body);
    while (true) {
        // 1. Claims the key, unless the claim table shows that another request owns it.
        AppendStatus status = AppendStatus::Void;
        if (!m_claims.find(key)) {
            ClaimRecord record {key, context.id, digest};
            status = co_await m_claims.claim(std::move(record), context.deadline);
        }
        // 2. If another request owns the key, its outcome is the reply.
        if (status == AppendStatus::Void) {
            bool released = false;
            reply = co_await awaitOwner(context, key, digest, released);
            if (released && Clock::now() < context.deadline) {
                continue;
            }
            co_return reply;
        }
        // 3. The claim was not read back in time, so this request does not run. A claim that may still reach the stream
        //    is released. Without the log nobody can tell whether an earlier request with the key has run.
        if (status != AppendStatus::Applied) {
            if (status == AppendStatus::Unknown) {
                m_claims.release(ClaimRelease {key, context.id});
            }
            reply.refusal = Refusal::KeyLogUnavailable;
            co_return reply;
        }
        break;
    }
    // 4. This request owns the key: runs, and records the outcome for later requests with the key.
    reply = co_await serve(context);
    if (!reply.refusal) {
        m_claims.recordOutcome(ClaimOutcome {key, context.id, reply.answer});
    } else if (refusalInfo(*reply.refusal).outcome == Outcome::NotRun) {
        m_claims.release(ClaimRelease {key, context.id});
    } else {
        m_claims.recordOutcome(ClaimOutcome {key, context.id, StoredAnswer {}});
    }
    co_return reply;
}

Asio::awaitable<RequestService::Reply> RequestService::awaitOwner(Context &context, ClaimKey key, std::string digest,
                                                                  bool &released)
{
    Reply reply;
    const auto executor = co_await Asio::this_coro::executor;
    while (true) {
        auto waiter = m_claims.progress().subscribe(executor);
        const auto claim = m_claims.find(key);
        if (!claim) {
            released = true;
            reply.refusal = Refusal::DeadlinePassed;
            co_return reply;
        }
        if (claim->bodyDigest != digest) {
            reply.refusal = Refusal::KeyReused;
            co_return reply;
        }
        if (claim->answer) {
            const bool known = claim->answer->status != 0 && !claim->answerDropped;
            if (known) {
                reply.answer = *claim->answer;
                reply.replayed = true;
            } else {
                reply.refusal = Refusal::KeyOutcomeUnknown;
            }
            co_return reply;
        }
        if (!co_await waiter->wait(context.deadline)) {
            reply.refusal = Refusal::KeyOutcomeUnknown;
            co_return reply;
        }
    }
}

Asio::awaitable<RequestService::Reply> RequestService::serve(Context &context)
{
    Reply reply;
    Ticket ticket;
    ticket.id = m_gate.newTicket();
    ticket.team = context.team;
    ticket.caller = context.caller;
    ticket.urgency = context.templateConfig->urgency;
    ticket.deadline = context.deadline;
    ticket.expectedServiceTime = expectedTime(context);
    ticket.serviceTimeBound = serviceTimeBound(context);
    reply.refusal = co_await m_gate.acquireSlot(ticket);
    if (reply.refusal) {
        co_return reply;
    }
    const SlotGuard slot(m_gate, ticket.id);
    co_return co_await runWithRetries(context);
}

} // namespace Papaya
