#include "steps/deploymentconfig.h"

namespace Papaya
{

const QueueConfig *DeploymentConfig::route(std::string_view host, std::string_view path) const
{
    const std::string_view name = host.substr(0, host.find(':'));
    const QueueConfig *best = nullptr;
    for (const QueueConfig &queue : queues) {
        const bool matches = queue.host == name && path.starts_with(queue.pathPrefix);
        if (matches && (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const QueueConfig *DeploymentConfig::queue(const QueueName &name) const
{
    for (const QueueConfig &queue : queues) {
        if (queue.name == name) {
            return &queue;
        }
    }
    return nullptr;
}

std::int64_t DeploymentConfig::guaranteedGpus(const TeamName &team) const
{
    for (const TeamConfig &config : teams) {
        if (config.name == team) {
            return config.guaranteedGpus;
        }
    }
    return 0;
}

} // namespace Papaya
