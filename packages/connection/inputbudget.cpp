#include "connection/inputbudget.h"

#include <utility>

namespace Papaya
{

InputBudget::Share::Share(std::shared_ptr<InputBudget> budget, std::function<void()> disconnect)
    : m_budget(std::move(budget))
    , m_id(m_budget->add(std::move(disconnect)))
{
}

InputBudget::Share::~Share()
{
    m_budget->remove(m_id);
}

bool InputBudget::Share::hold(std::size_t bytes)
{
    return m_budget->hold(m_id, bytes);
}

void InputBudget::Share::setWaiting()
{
    m_budget->setWait(m_id, true);
}

void InputBudget::Share::setServed()
{
    m_budget->setWait(m_id, false);
}

std::shared_ptr<InputBudget> InputBudget::create(std::size_t bytes)
{
    return std::shared_ptr<InputBudget>(new InputBudget(bytes));
}

InputBudget::InputBudget(std::size_t bytes)
    : m_limit(bytes)
{
}

std::uint64_t InputBudget::add(std::function<void()> disconnect)
{
    const std::lock_guard lock(m_mutex);
    m_clients[++m_lastId].disconnect = std::move(disconnect);
    return m_lastId;
}

void InputBudget::remove(std::uint64_t id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_clients.find(id);
    m_held -= found->second.bytes;
    m_waits.erase(found->second.waitingSince);
    m_clients.erase(found);
}

bool InputBudget::hold(std::uint64_t id, std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    Client &client = m_clients.at(id);
    m_held -= client.bytes;
    client.bytes = bytes <= FREE_BYTES ? 0 : bytes - FREE_BYTES;
    m_held += client.bytes;
    bool disconnected = true;
    while (client.bytes > 0 && m_held > m_limit && disconnected) {
        disconnected = disconnectLongestWaiting(id);
    }
    return client.bytes == 0 || m_held <= m_limit;
}

bool InputBudget::disconnectLongestWaiting(std::uint64_t except)
{
    for (const auto &[since, id] : m_waits) {
        Client &client = m_clients.at(id);
        if (id != except && client.bytes > 0) {
            // The memory is released soon after, once the connection's coroutine has ended.
            m_held -= std::exchange(client.bytes, 0);
            client.waitingSince = 0;
            client.disconnect();
            m_waits.erase(since);
            return true;
        }
    }
    return false;
}

void InputBudget::setWait(std::uint64_t id, bool waiting)
{
    const std::lock_guard lock(m_mutex);
    Client &client = m_clients.at(id);
    m_waits.erase(client.waitingSince);
    client.waitingSince = waiting ? ++m_lastWait : 0;
    if (waiting) {
        m_waits[client.waitingSince] = id;
    }
}

} // namespace Papaya
