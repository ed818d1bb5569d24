#pragma once

#include <cstdint>
#include <string_view>

// Writes log lines to a descriptor without ever waiting for its reader: what a pipe or socket does not take at once is
// dropped and counted, and the count is told with the next line that is taken.

namespace Papaya
{

/** Writer of lines to one descriptor, which it does not own. */
class LineWriter
{
public:
    explicit LineWriter(int descriptor);

    /** Writes @p line and a line end, or drops it. */
    void write(std::string_view line);

    /** @return lines that have been dropped and not been told of. */
    [[nodiscard]] std::uint64_t dropped() const
    {
        return m_dropped;
    }

private:
    [[nodiscard]] bool isWritable() const;
    bool tryWrite(std::string_view line);

    int m_descriptor;
    bool m_mayBlock; ///< it is a pipe or a socket
    std::uint64_t m_dropped = 0;
};

} // namespace Papaya
