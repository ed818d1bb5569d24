#pragma once

#include "process/settings.h"

#include <memory>
#include <string>

// One running instance: creates the components of the process in the order of their dependencies, and stops them.

namespace Papaya
{

/** A running instance with its listeners, services and planner. */
class Instance
{
public:
    /**
     * Binds the listeners and starts all components.
     * @param settingsPath read again on SIGHUP for the log level and the drain limit; other settings need a restart
     * @throws boost::system::system_error if an address cannot be bound
     */
    static std::unique_ptr<Instance> start(const Settings &settings, std::string settingsPath);
    ~Instance();
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    /** Runs until a drain has ended, which SIGTERM, SIGINT or the admin API starts; a second of these cuts it short. */
    void run();

private:
    struct Components;
    explicit Instance(std::unique_ptr<Components> components);

    std::unique_ptr<Components> m_components;
};

} // namespace Papaya
