#pragma once

#include "process/settings.h"

#include <memory>
#include <string>

// One running instance: everything that lives for the process, put together and taken apart in order.

namespace Papaya
{

/** A running instance. */
class Instance
{
public:
    /**
     * Binds the listeners and starts.
     * @param settingsPath read again on SIGHUP, for the log level and the drain limit; the rest needs a restart
     * @throws boost::system::system_error if an address cannot be bound
     */
    static std::unique_ptr<Instance> start(const Settings &settings, std::string settingsPath);
    ~Instance();
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    /** Runs until a drain that SIGTERM, SIGINT or the admin API began has ended. */
    void run();

private:
    struct Components;
    explicit Instance(std::unique_ptr<Components> components);

    std::unique_ptr<Components> m_components;
};

} // namespace Papaya
