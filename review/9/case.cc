#include "place.hh"

#include <algorithm>

// A holder is cut off just after it has stored that a machine goes down. Its order is held up; when it arrives, the
// next holder has given the same order with a higher token.

using namespace Review;

namespace
{

bool run(const std::string &recordPath)
{
    Options options;
    options.nodes = 6;
    options.nodeLinks = true;
    Place place(recordPath, options);
    place.start(configuration({queue("batch", 2)}, 8));
    std::this_thread::sleep_for(Millis(5'000)); // a holder gives no orders in its first 4 s
    const int first = place.leader();
    if (first < 0) {
        throw CannotRun("no node leads");
    }
    // 1. The cut begins behind the answer to the holder's append about the machine.
    Link &storeLink = *place.storeLinks[static_cast<std::size_t>(first)];
    Link &cloudLink = *place.cloudLinks[static_cast<std::size_t>(first)];
    std::atomic<std::int64_t> cutMs {0};
    std::mutex mutex;
    std::string answerOfOrder;
    place.store.appended = [&](const std::string &body, const std::string &answer) {
        // The record of the wave that says that the machine goes down; CBOR: the text "m-i-3", the text "b".
        if (body.find("w/1") != std::string::npos && body.find("m-i-3ab") != std::string::npos) {
            const std::lock_guard lock(mutex);
            answerOfOrder = answerOfOrder.empty() ? answer : answerOfOrder;
        }
    };
    if (trouble()) {
        storeLink.passing = [&](const std::string &bytes) {
            const std::lock_guard lock(mutex);
            if (cutMs == 0 && !answerOfOrder.empty() && bytes.ends_with(answerOfOrder)) {
                storeLink.cut(true);
                cloudLink.cut(true);
                cutMs = place.now();
                place.record.line("front-" + std::to_string(first) + " is cut off");
            }
        };
    }
    place.put("keyed.op", "wave/1", {{"wave", 1}, {"machines", {"m-i-3"}}, {"withinS", 30}, {"maximum", 1}});
    if (!place.eventually([&] { return !place.cloud.orders().empty(); }, Millis(20'000))) {
        throw CannotRun("the upkeep was never ordered");
    }
    // 2. The cut ends 6 s after it began.
    if (trouble()) {
        std::this_thread::sleep_for(Millis(std::max<std::int64_t>(0, cutMs + 6'000 - place.now())));
        storeLink.cut(false);
        cloudLink.cut(false);
        place.record.line("front-" + std::to_string(first) + " is reached again");
    }
    std::this_thread::sleep_for(Millis(5'000));
    // 3. No order for a machine may have a lower token than an earlier one.
    bool held = true;
    std::uint64_t highest = 0;
    for (const UpkeepOrder &order : place.cloud.orders()) {
        if (order.token < highest) {
            held = false;
            place.record.line("order for " + order.machine + " from " + order.holder + " with token "
                              + std::to_string(order.token) + " after one with token " + std::to_string(highest));
        }
        highest = std::max(highest, order.token);
    }
    place.record.line(held ? "ONE held" : "ONE was broken");
    return held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
