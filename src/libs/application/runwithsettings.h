#pragma once

#include "commandline.h"

#include <iostream>

namespace Application {

/**
 * Reads and checks a settings file and runs a program with the settings.
 * @param isCheck whether to check the file without running the program.
 * @param parse converts the path and text of the file to settings, or to an error that contains all error messages.
 * @param run runs the program with the settings and the text of the file, and returns the exit code of the program.
 * @return the exit code of the process.
 */
template <typename Parse, typename Run>
int runWithSettings(const std::string& path, bool isCheck, const Parse& parse, const Run& run)
{
    const auto text = readFile(path);
    if (!text) {
        std::cerr << "cannot read the settings file '" << path << "'\n";
        return static_cast<int>(ExitCode::Usage);
    }
    const auto settings = parse(path, *text);
    if (!settings) {
        std::cerr << settings.error().message << '\n';
        return static_cast<int>(ExitCode::SettingsInvalid);
    }
    return isCheck ? static_cast<int>(ExitCode::Success) : run(settings.value(), *text);
}

} // namespace Application
