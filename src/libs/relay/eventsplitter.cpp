#include "eventsplitter.h"

#include <charconv>

namespace Relay {

namespace {

// Finds the end of the first event: the place after its empty line.
std::size_t endOfEvent(std::string_view text)
{
    const std::size_t plain = text.find("\n\n");
    const std::size_t withReturns = text.find("\n\r\n");
    if (plain == std::string_view::npos && withReturns == std::string_view::npos)
        return std::string_view::npos;
    return plain < withReturns ? plain + 2 : withReturns + 3;
}

std::string_view idOf(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        return line;
    }
    return {};
}

std::optional<std::int64_t> numberOf(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace

std::string EventSplitter::take(std::string_view data)
{
    this->partial += data;
    std::string whole;
    std::string_view rest = this->partial;
    while (!this->outOfOrder) {
        const std::size_t end = endOfEvent(rest);
        if (end == std::string_view::npos)
            break;
        this->noteEvent(rest.substr(0, end));
        if (this->outOfOrder)
            break;
        whole += rest.substr(0, end);
        rest.remove_prefix(end);
    }
    this->partial.erase(0, this->partial.size() - rest.size());
    return whole;
}

void EventSplitter::beginResumedRun()
{
    this->partial.clear();
    this->expectedAfter = numberOf(this->newestId);
}

void EventSplitter::noteEvent(std::string_view event)
{
    const std::string_view id = idOf(event);
    if (this->expectedAfter) {
        const auto number = numberOf(id);
        this->outOfOrder = !number || *number <= *this->expectedAfter;
        this->expectedAfter.reset();
        if (this->outOfOrder)
            return;
    }
    ++this->events;
    this->newestId = id;
}

} // namespace Relay
