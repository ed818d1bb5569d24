#pragma once

#include "base/strong.h"
#include "base/units.h"
#include "connection/httpclient.h"

#include <memory>
#include <string>
#include <vector>

// Client interface of the platform's host list: the hosts, their addresses and failure domains, and whether they are
// leaving. The list lags behind the real state of the hosts.

namespace Papaya
{

enum class HostKind { Entry, Minion, Worker };
enum class HostState { Live, Leaving };

/** A host of the list. */
struct Host {
    std::string id;
    HostKind kind = HostKind::Entry;
    Endpoint address;
    PlaceName place;
    RackName rack;
    HostState state = HostState::Live;
    /** Slots and connections that a minion offers; 0 for other hosts. */
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    /** Capacity of a worker; empty for other hosts. */
    Resources resources;

    bool operator==(const Host &) const = default;
};

/** The host list at the time asOfMs. */
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
     * Fetches the list. Calls must not overlap.
     * @throws HttpError if the platform does not answer, std::runtime_error if it answers with an error or a malformed
     * list
     */
    virtual Asio::awaitable<HostSnapshot> fetch(TimePoint deadline) = 0;
};

/** Parses the body of a host list. A malformed entry makes the whole list an error. */
Result<HostSnapshot> parseHosts(std::string_view body);

/** @return an HTTP client of the host list at @p endpoint; @p pool must outlive it. */
std::unique_ptr<HostList> makeHttpHostList(HttpPool &pool, const Endpoint &endpoint);

} // namespace Papaya
