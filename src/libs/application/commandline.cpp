#include "commandline.h"

#include <gflags/gflags.h>

#include <fstream>
#include <sstream>

namespace Application {

void parseCommandLine(std::string_view usage, int& argc, char**& argv)
{
    gflags::SetUsageMessage(std::string(usage));
    gflags::SetVersionString(BLUEBELL_VERSION);
    constexpr bool removeFlags = true;
    gflags::ParseCommandLineFlags(&argc, &argv, removeFlags);
}

std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace Application
