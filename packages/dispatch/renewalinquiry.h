#pragma once

#include "base/strong.h"
#include "base/units.h"
#include "connection/httpclient.h"
#include "connection/httpserver.h"

#include <functional>
#include <optional>
#include <string>

// Lets a planner that has taken over ask the node of its predecessor whether that one may still renew leases.

namespace Papaya
{

/** Answers inquiries of other nodes and passes all other requests on. */
class RenewalInquiryReceiver : public HttpHandler
{
public:
    /** @return how long ago the planner of the epoch, of this node, has ceased to renew leases; nothing if it has not
     */
    using EndedAgo = std::function<std::optional<Millis>(Epoch)>;

    /**
     * @param node name of this node
     * @param next handles the other requests; must outlive the receiver
     */
    RenewalInquiryReceiver(std::string node, EndedAgo endedAgo, HttpHandler &next);

    Asio::awaitable<HttpResponse> handle(HttpRequest request) override;

private:
    std::string m_node;
    EndedAgo m_endedAgo;
    HttpHandler &m_next;
};

/**
 * Asks the node that listens for peers at @p peer about the planner of @p epoch.
 * @param node the name that the node must have
 * @return how long before the answer arrived the planner had ceased to renew leases; nothing without an answer, or if
 * it may still renew
 */
Asio::awaitable<std::optional<Millis>> askForRenewals(HttpPool &pool, Endpoint peer, std::string node, Epoch epoch,
                                                      Millis timeout);

} // namespace Papaya
