#include "process/linewriter.h"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <unistd.h>

// Tests that log output never blocks on its reader.

namespace Papaya
{

namespace
{

std::string readAvailable(int descriptor)
{
    std::string text;
    std::array<char, 65'536> buffer {};
    ssize_t count = 0;
    do {
        count = ::read(descriptor, buffer.data(), buffer.size());
        text.append(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
    } while (count == static_cast<ssize_t>(buffer.size()));
    return text;
}

TEST(LineWriter, DropsLinesThatAStuckReaderDoesNotAcceptAndReportsTheirCount)
{
    std::array<int, 2> pipeEnds {};
    ASSERT_EQ(0, ::pipe(pipeEnds.data()));
    LineWriter writer(pipeEnds[1]);
    const std::string line(1'000, 'x');
    for (int i = 0; i < 1'000; ++i) { // far more than a pipe holds; a blocking write would never return
        writer.write(line);
    }
    const std::uint64_t dropped = writer.dropped();
    EXPECT_GT(dropped, 800U);
    EXPECT_LT(dropped, 1'000U);
    readAvailable(pipeEnds[0]);
    writer.write("after");
    const std::string text = readAvailable(pipeEnds[0]);
    EXPECT_EQ("level=warning event=log-lines-dropped count=" + std::to_string(dropped) + "\nafter\n", text);
    EXPECT_EQ(0U, writer.dropped());
    ::close(pipeEnds[0]);
    ::close(pipeEnds[1]);
}

TEST(LineWriter, CutsLinesThatAPipeMightNotAcceptWhole)
{
    std::array<int, 2> pipeEnds {};
    ASSERT_EQ(0, ::pipe(pipeEnds.data()));
    LineWriter writer(pipeEnds[1]);
    writer.write(std::string(100'000, 'x'));
    EXPECT_LE(readAvailable(pipeEnds[0]).size(), 4'096U);
    ::close(pipeEnds[0]);
    ::close(pipeEnds[1]);
}

} // namespace

} // namespace Papaya
