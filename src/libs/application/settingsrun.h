#pragma once

#include "commandline.h"

#include <iostream>

namespace Application {

/**
 * Reads and checks a settings file, and runs a program with it.
 * @param path the file's path.
 * @param isCheck whether to check the file only.
 * @param parse makes settings of the file's path and text, or an error with a message for each fault.
 * @param run runs the program with the settings and the text that they were read from, and gives its exit code.
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
