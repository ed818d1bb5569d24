#pragma once

#include "base/endpoint.h"
#include "base/units.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>

namespace Papaya::Standins
{

namespace Asio = boost::asio;

/** A TCP relay that delays, cuts and silences connections, switchable while it runs. */
class FaultProxy
{
public:
    /** Relays from @p listen, whose port may be 0, to @p target. */
    static std::unique_ptr<FaultProxy> create(Asio::io_context &io, const Endpoint &listen, const Endpoint &target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    [[nodiscard]] Endpoint address() const;

    /** Delays every byte in both directions. */
    void setDelay(Millis delay);
    /** Swallows everything on the connections that are open now, for good; new ones work. */
    void silenceOpen();
    /** Swallows everything on all connections, open and new, until called with false. */
    void setSilent(bool silent);
    /** Swallows what the target sends on the open connections; the other direction works. */
    void halfOpen();
    /** Closes the connections that are open now. */
    void cutOpen();
    /** Closes each connection after this many more bytes of its answers; negative for never. */
    void cutAnswersAfter(std::int64_t bytes);
    /** Refuses new connections by closing them at once. */
    void setRefuse(bool refuse);
    /** @return bytes relayed in both directions since the start. */
    [[nodiscard]] std::uint64_t bytes() const;
    /** @return connections accepted since the start. */
    [[nodiscard]] std::uint64_t accepted() const;

private:
    class State;
    explicit FaultProxy(std::shared_ptr<State> state);
    std::shared_ptr<State> m_state;
};

} // namespace Papaya::Standins
