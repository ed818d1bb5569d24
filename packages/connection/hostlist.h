#pragma once

#include "base/strong.h"
#include "base/units.h"
#include "connection/httpclient.h"

#include <memory>
#include <string>
#include <vector>

// The platform's host list: which hosts exist, where they are, and which are leaving. It lags.

namespace Papaya
{

enum class HostKind { Entry, Minion, Worker };
enum class HostState { Live, Leaving };

/** One listed host. */
struct Host {
    std::string id;
    HostKind kind = HostKind::Entry;
    Endpoint address;
    PlaceName place;
    RackName rack;
    HostState state = HostState::Live;
    /** Slots and connections of a minion. */
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    /** Capacity of a worker. */
    Resources resources;

    bool operator==(const Host &) const = default;
};

/** The list as of one moment. */
struct HostSnapshot {
    std::int64_t asOfMs = 0;
    std::vector<Host> hosts;

    /** @return the worker @p id, or null if it is not listed. */
    [[nodiscard]] const Host *findWorker(const WorkerId &id) const;
};

/** The platform's host list. */
class HostList
{
public:
    virtual ~HostList() = default;

    /**
     * Fetches the list; only one call may be under way.
     * @return the current list
     * @throws HttpError; std::runtime_error for a malformed answer
     */
    virtual Asio::awaitable<HostSnapshot> fetch(TimePoint deadline) = 0;
};

/** Parses the body of a host list; entries that are malformed are errors. */
Result<HostSnapshot> parseHosts(std::string_view body);

/** @return a client of the host list's HTTP form at @p endpoint; @p pool must outlive it. */
std::unique_ptr<HostList> makeHttpHostList(HttpPool &pool, const Endpoint &endpoint);

} // namespace Papaya
