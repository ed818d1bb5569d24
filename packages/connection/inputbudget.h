#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

// A bound on the memory that the clients of all listeners of a process hold together with unfinished input and untaken
// answers. When it is exceeded, the client that has kept the process waiting for the longest time is disconnected.

namespace Papaya
{

/** Memory that clients hold. Thread-safe. */
class InputBudget
{
public:
    /** One client's share of the budget, which it returns on destruction. */
    class Share
    {
    public:
        /** @param disconnect closes the client's connection; called from any thread, at most once */
        Share(std::shared_ptr<InputBudget> budget, std::function<void()> disconnect);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /**
         * Sets what the client holds and, if that exceeds the budget, disconnects waiting clients.
         * @param bytes the memory; what a small request needs is free of charge
         * @return false if the budget is exceeded and no waiting client is left, so that the input must be refused
         */
        bool hold(std::size_t bytes);
        /** The process waits for the client, which may be disconnected. Each call begins a new wait. */
        void setWaiting();
        /** The client waits for the process and must not be disconnected. */
        void setServed();

    private:
        const std::shared_ptr<InputBudget> m_budget;
        const std::uint64_t m_id;
    };

    static constexpr std::size_t DEFAULT_BYTES = 32UL * 1024 * 1024;
    /** Not counted for each client, so that an ordinary request is read while others exceed the budget. */
    static constexpr std::size_t FREE_BYTES = 8UL * 1024;

    static std::shared_ptr<InputBudget> create(std::size_t bytes = DEFAULT_BYTES);

private:
    struct Client {
        std::size_t bytes = 0;
        std::uint64_t waitingSince = 0; ///< position in the order of waits; 0 if it is served or disconnected
        std::function<void()> disconnect;
    };

    explicit InputBudget(std::size_t bytes);
    std::uint64_t add(std::function<void()> disconnect);
    void remove(std::uint64_t id);
    bool hold(std::uint64_t id, std::size_t bytes);
    bool disconnectLongestWaiting(std::uint64_t except);
    void setWait(std::uint64_t id, bool waiting);

    const std::size_t m_limit;
    std::mutex m_mutex;
    std::size_t m_held = 0;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_lastWait = 0;
    std::map<std::uint64_t, Client> m_clients;
    std::map<std::uint64_t, std::uint64_t> m_waits; ///< clients that may be disconnected, the longest waiting first
};

} // namespace Papaya
