#include <foundation/event.h>
#include <foundation/resultcode.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <fstream>
#include <string>
#include <vector>

using namespace Foundation;

namespace {

std::vector<std::string> readTableRows(const std::string& page)
{
    std::ifstream file(std::string(BLUEBELL_SOURCE_DIR "/docs/") + page);
    std::vector<std::string> rows;
    for (std::string line; std::getline(file, line);) {
        const bool isRow
            = line.size() > 2 && line.starts_with("| ") && std::isdigit(static_cast<unsigned char>(line[2]));
        if (isRow)
            rows.push_back(line);
    }
    return rows;
}

const char* severityName(Severity severity)
{
    if (severity == Severity::Debug)
        return "debug";
    return severity == Severity::Info ? "info" : "warning";
}

} // namespace

TEST_GROUP(Tables) {};

TEST(Tables, documentedCodesMatchTheTable)
{
    std::vector<std::string> expected;
    for (const ResultCodeEntry& entry : resultCodes()) {
        expected.push_back("| " + std::to_string(static_cast<int>(entry.code)) + " | " + std::string(entry.name) + " | "
            + std::to_string(entry.httpStatus) + " | " + std::string(entry.meaning) + " |");
    }
    CHECK_TRUE(readTableRows("CODES.md") == expected);
}

TEST(Tables, documentedEventsMatchTheCatalogue)
{
    std::vector<std::string> expected;
    for (const EventEntry& entry : events()) {
        expected.push_back("| " + std::to_string(static_cast<int>(entry.event)) + " | " + std::string(entry.name)
            + " | " + severityName(entry.severity) + " | " + std::string(entry.meaning) + " |");
    }
    CHECK_TRUE(readTableRows("EVENTS.md") == expected);
}

TEST(Tables, codesAreUniqueAndAscending)
{
    const auto codes = resultCodes();
    CHECK_TRUE(std::ranges::is_sorted(codes, std::ranges::less_equal {}, &ResultCodeEntry::code));
    CHECK_TRUE(resultCodeFromNumber(424242) == ResultCode::UpstreamFailed);
}
