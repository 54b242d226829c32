#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Application {

/** The exit codes of all programs. docs/SETTINGS.md contains the same table. */
enum class ExitCode : int {
    Success = 0,
    Failure = 1,
    Usage = 2,
    SettingsInvalid = 3,
    DocumentInvalid = 4,
    RaceLost = 5,
    Unconfirmed = 6,
    LogUnavailable = 7,
    NotInForce = 8,
    UnknownTarget = 9,
};

/**
 * Parses the command line with gflags, including --help and --version. The parsed flags are removed from argc and argv.
 */
void parseCommandLine(std::string_view usage, int& argc, char**& argv);

/** Returns the content of a file, or nothing if it cannot be read. */
std::optional<std::string> readFile(const std::string& path);

} // namespace Application
