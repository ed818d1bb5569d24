#pragma once

#include "base/endpoint.h"
#include "base/units.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>

namespace Papaya::Standins
{

namespace Asio = boost::asio;

/** A TCP relay between clients and one target that can delay, discard and cut traffic while it runs. */
class FaultProxy
{
public:
    /** Starts a relay from @p listen to @p target. Port 0 in @p listen selects a free port. */
    static std::unique_ptr<FaultProxy> create(Asio::io_context &io, const Endpoint &listen, const Endpoint &target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    [[nodiscard]] Endpoint address() const;

    /** Delays relayed data in both directions by @p delay. */
    void setDelay(Millis delay);
    /** Discards all data on the currently open connections permanently; new connections work. */
    void silenceOpen();
    /** While @p silent, discards all data on all connections, open and new. */
    void setSilent(bool silent);
    /** Discards what the target sends on the currently open connections; the other direction works. */
    void halfOpen();
    /** Closes the currently open connections. */
    void cutOpen();
    /** Closes each connection once this many more bytes from the target were relayed on it; negative for never. */
    void cutAnswersAfter(std::int64_t bytes);
    /** While @p refuse, closes new connections immediately. */
    void setRefuse(bool refuse);
    /** @return the number of bytes relayed in both directions since the start. */
    [[nodiscard]] std::uint64_t bytes() const;
    /** @return the number of connections accepted since the start. */
    [[nodiscard]] std::uint64_t accepted() const;

private:
    class State;
    explicit FaultProxy(std::shared_ptr<State> state);
    std::shared_ptr<State> m_state;
};

} // namespace Papaya::Standins
