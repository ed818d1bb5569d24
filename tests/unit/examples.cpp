#include "base/codec.h"
#include "dispatch/jobspecreader.h"
#include "process/settings.h"
#include "version/fleetconfig.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

// Tests that the parsers accept every file in examples/.

namespace Papaya
{

namespace
{

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

TEST(Examples, AreAllValid)
{
    std::size_t checked = 0;
    for (const auto &entry : std::filesystem::directory_iterator(EXAMPLES_PATH)) {
        const std::string text = readFile(entry.path());
        if (entry.path().filename().string().find("settings") != std::string::npos) {
            EXPECT_TRUE(Settings::fromText(text).ok()) << entry.path();
        } else if (entry.path().filename().string().starts_with("steps")) {
            auto document = parseJson(text, Comments::Allowed);
            ASSERT_TRUE(document.ok()) << entry.path();
            (*document)["queue"] = "plan"; // the command-line client adds the queue
            EXPECT_TRUE(readJobRequest(*document).ok()) << entry.path();
        } else {
            const auto document = parseJson(text, Comments::Allowed);
            ASSERT_TRUE(document.ok()) << entry.path();
            EXPECT_TRUE(FleetConfig::fromJson(*document).ok()) << entry.path();
        }
        ++checked;
    }
    EXPECT_GE(checked, 4U);
}

} // namespace

} // namespace Papaya
