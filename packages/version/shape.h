#pragma once

#include "base/objectreader.h"
#include "base/units.h"

#include <cstdint>
#include <optional>

// A shape says what a gang needs: a number of equal parts and how close together they must lie.

namespace Papaya
{

/** How close the parts of a gang must lie. */
enum class Adjacency { Worker, Rack, Place, Any };

/** Largest number of parts in a gang. */
constexpr std::int64_t MAX_GANG_PARTS = 128;

/** Parts of a gang, what each of them takes, and their adjacency. */
struct Shape {
    std::uint32_t parts = 1;
    Resources part;
    Adjacency adjacency = Adjacency::Any;

    bool operator==(const Shape &) const = default;

    /** @return accelerators of the whole gang. */
    [[nodiscard]] std::int64_t totalGpus() const
    {
        return part.gpus * parts;
    }
};

/** @return the word for @p adjacency in configuration and messages. */
const char *toString(Adjacency adjacency);

/** Reads a shape from @p value; problems are appended to @p errors with paths below @p path. */
std::optional<Shape> readShape(const nlohmann::json &value, const std::string &path, Errors &errors);

/** @return @p shape in the form that readShape() takes. */
nlohmann::json toJsonValue(const Shape &shape);

} // namespace Papaya
