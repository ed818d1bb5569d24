#pragma once

#include "base/units.h"

#include <memory>
#include <string>

// A node in the test's own process whose event loop is as slow as that of a node with a small share of a core.

namespace Papaya::Testing
{

/** Runs a node in a thread of its own. Each call to a minion keeps its event loop busy. */
class SlowNode
{
public:
    /**
     * Starts the node.
     * @param settingsPath settings file of the node
     * @param callTime how long each call to a minion keeps the event loop busy
     */
    SlowNode(const std::string &settingsPath, Duration callTime);
    ~SlowNode();
    SlowNode(const SlowNode &) = delete;
    SlowNode &operator=(const SlowNode &) = delete;

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace Papaya::Testing
