#pragma once

#include "messages.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Wire {

/** Encodes messages as one CBOR frame. The order is preserved. */
std::string encode(std::span<const Message> messages);

/**
 * Decodes a CBOR frame. Unknown fields are ignored. Missing fields keep their default values, except that an attempt
 * identifier must not be missing or empty.
 * @return the messages in order, or MalformedMessage.
 */
Foundation::Result<std::vector<Message>> decode(std::string_view bytes);

} // namespace Wire
