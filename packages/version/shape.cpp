#include "version/shape.h"

namespace Papaya
{

namespace
{

constexpr std::int64_t MAX_GPUS_PER_PART = 64;
constexpr std::int64_t MAX_CORES_PER_PART = 4096;
constexpr std::int64_t MAX_MEMORY_MB_PER_PART = 64LL * 1024 * 1024;

const std::vector<std::string_view> ADJACENCY_NAMES {"worker", "rack", "place", "any"};

} // namespace

const char *toString(Adjacency adjacency)
{
    return ADJACENCY_NAMES[static_cast<std::size_t>(adjacency)].data();
}

std::optional<Shape> readShape(const nlohmann::json &value, const std::string &path, Errors &errors)
{
    const std::size_t errorsBefore = errors.size();
    ObjectReader reader(value, path, errors);
    Shape shape;
    shape.parts = static_cast<std::uint32_t>(reader.integer("parts", 1, MAX_GANG_PARTS).value_or(1));
    shape.part.gpus = reader.integer("gpus", 0, MAX_GPUS_PER_PART).value_or(0);
    shape.part.cores = reader.integer("cores", 0, MAX_CORES_PER_PART).value_or(0);
    shape.part.memoryMb = reader.integer("memoryMb", 0, MAX_MEMORY_MB_PER_PART).value_or(0);
    if (const auto adjacency = reader.oneOf("adjacent", ADJACENCY_NAMES)) {
        shape.adjacency = static_cast<Adjacency>(*adjacency);
    }
    reader.refuseUnknownKeys();
    if (errors.size() != errorsBefore) {
        return std::nullopt;
    }
    if (shape.part == Resources {}) {
        errors.push_back({"empty-shape", "must request gpus, cores or memoryMb", path});
        return std::nullopt;
    }
    return shape;
}

nlohmann::json toJsonValue(const Shape &shape)
{
    return {{"parts", shape.parts},
            {"gpus", shape.part.gpus},
            {"cores", shape.part.cores},
            {"memoryMb", shape.part.memoryMb},
            {"adjacent", toString(shape.adjacency)}};
}

} // namespace Papaya
