#pragma once

#include <cstdint>
#include <string_view>

// Writes log lines to a file descriptor without waiting for its reader. A line that a pipe or socket does not accept at
// once is dropped and counted; the count is written before the next line that is accepted.

namespace Papaya
{

/** Writes lines to one file descriptor, which it does not own. Not thread-safe. */
class LineWriter
{
public:
    explicit LineWriter(int descriptor);

    /** Writes @p line and a newline, or drops the line. Lines longer than a pipe accepts at once are cut. */
    void write(std::string_view line);

    /** @return dropped lines whose count has not been written yet. */
    [[nodiscard]] std::uint64_t dropped() const
    {
        return m_dropped;
    }

private:
    /** @return true if a write of one line would not block. */
    [[nodiscard]] bool isWritable() const;
    /** @return true if @p line was written whole. */
    bool tryWrite(std::string_view line);

    int m_descriptor;
    bool m_mayBlock; ///< the descriptor is a pipe or a socket
    std::uint64_t m_dropped = 0;
};

} // namespace Papaya
