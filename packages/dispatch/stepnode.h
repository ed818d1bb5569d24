#pragma once

#include "dispatch/admissionoracle.h"
#include "dispatch/deploymentcodec.h"
#include "dispatch/machinecontrol.h"
#include "dispatch/minioncontrol.h"
#include "dispatch/nodesettings.h"
#include "dispatch/recordstore.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

// One node: accepts callers' jobs, follows the journal, and runs the planner while it leads.

namespace Papaya
{

/** The services of the deployment's platform. */
struct Platform {
    std::unique_ptr<RecordStore> store;
    std::unique_ptr<MinionControl> minionControl;
    std::unique_ptr<DeploymentCodec> codec;
    std::unique_ptr<AdmissionOracle> oracle;  ///< null if the deployment has none
    std::unique_ptr<MachineControl> machines; ///< null if the deployment has none
};

/** A running node. */
class StepNode
{
public:
    /**
     * Binds the listeners and starts the node.
     * @param settingsPath read again on SIGHUP
     * @throws boost::system::system_error if an address cannot be bound
     */
    static std::unique_ptr<StepNode> start(Asio::io_context &io, const NodeSettings &settings, std::string settingsPath,
                                           Platform platform);
    ~StepNode();
    StepNode(const StepNode &) = delete;
    StepNode &operator=(const StepNode &) = delete;

private:
    struct Parts;
    explicit StepNode(std::unique_ptr<Parts> parts);

    std::unique_ptr<Parts> m_parts;
};

} // namespace Papaya
