#pragma once

#include <string>
#include <string_view>

namespace Foundation {

/** Returns the SHA-256 digest of bytes as 64 lower-case hexadecimal digits. */
std::string sha256Hex(std::string_view text);

} // namespace Foundation
