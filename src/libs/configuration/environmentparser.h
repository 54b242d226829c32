#pragma once

#include "environmentdocument.h"

#include <foundation/resultcode.h>

#include <string_view>

namespace Configuration {

/**
 * Parses and validates an environment document.
 * @param fileName the file name in error messages.
 * @param text JSON, which may contain comments.
 * @return the document, or DocumentInvalid with one line per error, each with file, line and key.
 */
Foundation::Result<EnvironmentDocument> parseEnvironment(std::string_view fileName, std::string_view text);

} // namespace Configuration
