#pragma once

#include "resultcode.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <string_view>

namespace Foundation {

/** A parsed JSON file with the line number of each key and array element, for use in error messages. */
struct LocatedJson {
    std::string fileName;
    nlohmann::json value;
    /** Line numbers by JSON pointer, counted from 1. */
    std::map<std::string, int> lines;

    /** Returns the line of the value at a JSON pointer. If it is missing, returns the line of the nearest parent. */
    int findLine(std::string_view pointer) const;
};

/**
 * Parses JSON that may contain comments.
 * @param fileName the name to use in messages.
 * @param failure the code of the error that is returned for invalid syntax. Its message contains file and line.
 */
Result<LocatedJson> parseLocatedJson(std::string_view fileName, std::string_view text, ResultCode failure);

} // namespace Foundation
