#include "eventscanner.h"

#include <algorithm>
#include <utility>

namespace Relay {

std::size_t EventScanner::findEnd(std::string_view data)
{
    std::size_t at = 0;
    while (at < data.size()) {
        if (std::exchange(this->isAfterCarriageReturn, false)) {
            at += data[at] == '\n' ? 1 : 0;
            if (std::exchange(this->isEnding, false))
                return at;
            continue;
        }
        const auto* const lineEnd
            = std::find_if(data.begin() + at, data.end(), [](char c) { return c == '\n' || c == '\r'; });
        const auto end = static_cast<std::size_t>(lineEnd - data.begin());
        if (this->isLineEmpty && end > at) {
            this->isLineEmpty = false;
            this->isComment = data[at] == ':';
        }
        if (end == data.size())
            break;
        at = end + 1;
        this->isAfterCarriageReturn = *lineEnd == '\r';
        const bool isEnd = this->endLine();
        if (isEnd && !this->isAfterCarriageReturn)
            return at;
        this->isEnding = isEnd;
    }
    return npos;
}

// Returns whether the line was the empty one that ends an event.
bool EventScanner::endLine()
{
    if (this->isLineEmpty) {
        this->hasField = false;
        return std::exchange(this->hasLine, false);
    }
    this->hasLine = true;
    this->hasField = this->hasField || !this->isComment;
    this->isLineEmpty = true;
    return false;
}

} // namespace Relay
