#include "process/linewriter.h"

#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <climits>
#include <string>

namespace Papaya
{

namespace
{

constexpr std::size_t MAX_LINE_BYTES = PIPE_BUF; // a writable pipe accepts this much without blocking

bool isPipeOrSocket(int descriptor)
{
    struct stat status {
    };
    return ::fstat(descriptor, &status) == 0 && (S_ISFIFO(status.st_mode) || S_ISSOCK(status.st_mode));
}

} // namespace

LineWriter::LineWriter(int descriptor)
    : m_descriptor(descriptor)
    , m_mayBlock(isPipeOrSocket(descriptor))
{
}

bool LineWriter::isWritable() const
{
    pollfd state {m_descriptor, POLLOUT, 0};
    return !m_mayBlock || (::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0);
}

bool LineWriter::tryWrite(std::string_view line)
{
    if (!isWritable()) {
        return false;
    }
    std::string text(line.substr(0, MAX_LINE_BYTES - 1));
    text += '\n';
    ssize_t written = -1;
    do {
        written = ::write(m_descriptor, text.data(), text.size());
    } while (written < 0 && errno == EINTR);
    return written == static_cast<ssize_t>(text.size());
}

void LineWriter::write(std::string_view line)
{
    if (m_dropped > 0) {
        if (!tryWrite("level=warning event=log-lines-dropped count=" + std::to_string(m_dropped))) {
            ++m_dropped;
            return;
        }
        m_dropped = 0;
    }
    if (!tryWrite(line)) {
        ++m_dropped;
    }
}

} // namespace Papaya
