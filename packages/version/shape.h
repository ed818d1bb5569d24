#pragma once

#include "base/objectreader.h"
#include "base/units.h"

#include <cstdint>
#include <optional>

// A shape describes what a gang needs: a number of equal parts, and how close together they must be placed.

namespace Papaya
{

/** Level within which all parts of a gang must be placed, the closest first. */
enum class Adjacency { Worker, Rack, Place, Any };

/** Largest number of parts in a gang. */
constexpr std::int64_t MAX_GANG_PARTS = 128;

/** Number of parts of a gang, the resources of each part, and their adjacency. */
struct Shape {
    std::uint32_t parts = 1;
    Resources part;
    Adjacency adjacency = Adjacency::Any;

    bool operator==(const Shape &) const = default;

    /** @return accelerators of all parts together. */
    [[nodiscard]] std::int64_t totalGpus() const
    {
        return part.gpus * parts;
    }
};

/** @return the name of @p adjacency in configuration and messages. */
const char *toString(Adjacency adjacency);

/**
 * Reads a shape from @p value.
 * @param path path of @p value in its document
 * @param errors list that every error is appended to
 * @return the shape, or nothing if there was an error
 */
std::optional<Shape> readShape(const nlohmann::json &value, const std::string &path, Errors &errors);

/** @return @p shape in the form that readShape() takes. */
nlohmann::json toJsonValue(const Shape &shape);

} // namespace Papaya
