#include "base/codec.h"
#include "connection/hostlist.h"
#include "connection/workerclient.h"
#include "process/journalrecord.h"
#include "process/ledger.h"
#include "process/settings.h"
#include "process/snapshotstore.h"
#include "process/streambatch.h"
#include "request/claimtable.h"
#include "version/configstate.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

// Properties of the parsers: any input gives a value or a typed error. RC_PARAMS in the test command sets the seed.

namespace Papaya
{

namespace
{

using Json = nlohmann::json;

/**
 * Generates JSON values whose strings are often names of known fields.
 * @param depth maximum nesting depth
 */
rc::Gen<Json> genJson(int depth)
{
    const auto fieldName = rc::gen::elementOf(std::vector<std::string> {
        "teams",   "templates", "t",       "job",    "team",     "epoch",   "claim",  "submitted", "shape",
        "parts",   "gpus",      "w",       "n",      "i",        "s",       "p",      "id",        "kind",
        "request", "urgent",    "version", "config", "replaces", "records", "offset", "data",      ""});
    auto leaf =
        rc::gen::oneOf(rc::gen::map(fieldName, [](std::string text) { return Json(std::move(text)); }),
                       rc::gen::map(rc::gen::arbitrary<std::int64_t>(), [](auto n) { return Json(n); }),
                       rc::gen::map(rc::gen::inRange(0, 9), [](int n) { return Json(n); }),
                       rc::gen::map(rc::gen::arbitrary<bool>(), [](bool b) { return Json(b); }), rc::gen::just(Json()));
    if (depth == 0) {
        return leaf;
    }
    const auto list = rc::gen::map(rc::gen::container<std::vector<Json>>(genJson(depth - 1)),
                                   [](const std::vector<Json> &values) { return Json(values); });
    const auto object = rc::gen::map(rc::gen::container<std::map<std::string, Json>>(fieldName, genJson(depth - 1)),
                                     [](const std::map<std::string, Json> &fields) { return Json(fields); });
    return rc::gen::oneOf(leaf, list, object);
}

template<typename T>
void expectValueOrErrors(const Result<T> &result)
{
    const bool valid = result.ok() || !result.errors().empty();
    RC_ASSERT(valid);
}

void parseEverything(const std::string &bytes)
{
    expectValueOrErrors(parseJson(bytes, Comments::Allowed));
    expectValueOrErrors(parseCbor(bytes));
    expectValueOrErrors(fromBase64(bytes));
    expectValueOrErrors(Settings::fromText(bytes));
    expectValueOrErrors(ConfigRecord::fromText(bytes));
    expectValueOrErrors(StreamBatch::fromText(bytes));
    expectValueOrErrors(SnapshotChunk::fromText(bytes));
    expectValueOrErrors(parseHosts(bytes));
    expectValueOrErrors(parseReport(bytes));
}

RC_GTEST_PROP(Parsers, ReturnAValueOrErrorsForArbitraryBytes, (const std::string &bytes))
{
    parseEverything(bytes);
    parseEverything(toBase64(bytes));
}

RC_GTEST_PROP(Parsers, ReturnAValueOrErrorsForArbitraryJson, ())
{
    const Json value = *genJson(3);
    parseEverything(toJson(value));
    parseEverything(toBase64(toCbor(value)));
    expectValueOrErrors(FleetConfig::fromJson(value));
    expectValueOrErrors(parseJournalRecord(value));
    expectValueOrErrors(parseClaimRecord(value));
    expectValueOrErrors(Ledger::fromJson(value));
    expectValueOrErrors(DuplicateFilter::fromJson(value));
}

RC_GTEST_PROP(Parsers, ReturnAValueOrErrorsForCorruptedRecords, (std::uint16_t position, std::uint8_t replacement))
{
    JobSubmitted job;
    job.job = JobId("j-1");
    job.shape.part.gpus = 8;
    StreamBatch batch;
    batch.writer = InstanceId("entry-1");
    batch.items.push_back({1, toJsonValue(JournalRecord(job))});
    std::string bytes = *fromBase64(batch.toText());
    bytes[position % bytes.size()] = static_cast<char>(replacement);
    const auto parsed = StreamBatch::fromText(toBase64(bytes));
    for (std::size_t i = 0; parsed && i < parsed->items.size(); ++i) {
        expectValueOrErrors(parseJournalRecord(parsed->items[i].payload));
    }
}

RC_GTEST_PROP(Base64, DecodesToTheBytesThatWereEncoded, (const std::string &bytes))
{
    RC_ASSERT(*fromBase64(toBase64(bytes)) == bytes);
}

TEST(Parsers, RejectDeeplyNestedInput)
{
    const std::string deep(100'000, '[');
    EXPECT_FALSE(parseJson(deep));
    EXPECT_FALSE(parseCbor(std::string(100'000, '\x81')));
}

TEST(Settings, ReportEveryErrorWithItsPath)
{
    const auto settings = Settings::fromText(R"({
        // The id is missing, a port is not a number, and a key is unknown.
        "instance": {"place": "bergen"},
        "listen": {"callers": "127.0.0.1:x", "admin": "10.0.0.1:9001", "peers": "127.0.0.1:7001"},
        "platform": {"log": "127.0.0.1:6001", "hosts": "localhost:6002"},
        "thread": 4
    })");
    ASSERT_FALSE(settings);
    std::set<std::string> paths;
    for (const Error &error : settings.errors()) {
        paths.insert(error.path);
    }
    EXPECT_EQ(
        (std::set<std::string> {"instance.id", "listen.callers", "platform.hosts", "adminTokenDigests", "thread"}),
        paths);
}

} // namespace

} // namespace Papaya
