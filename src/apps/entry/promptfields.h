#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Entry {

/** The fields of a prompt that routing depends on. */
struct PromptFields {
    std::string model;
    bool stream = false;
    std::int64_t maximumTokens = 256;
};

/**
 * Parses the fields of a prompt. Checks the syntax of the whole text, but stores only these fields.
 * @return none if the body is no JSON object, 'model' is missing, or a field has a wrong type or an invalid value.
 */
std::optional<PromptFields> parsePromptFields(std::string_view body);

} // namespace Entry
