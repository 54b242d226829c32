#include "locatedjson.h"

#include <iterator>
#include <vector>

namespace Foundation {

namespace {

// Tracks the read position of the parser, since its callbacks do not report one.
class CountingIterator {
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    CountingIterator(const char* position, const char** readPosition)
        : position(position)
        , readPosition(readPosition)
    {
    }

    reference operator*() const { return *this->position; }

    CountingIterator& operator++()
    {
        ++this->position;
        *this->readPosition = this->position;
        return *this;
    }

    CountingIterator operator++(int)
    {
        const CountingIterator before = *this;
        ++*this;
        return before;
    }

    bool operator==(const CountingIterator& other) const { return this->position == other.position; }
    bool operator!=(const CountingIterator& other) const { return this->position != other.position; }

private:
    const char* position;
    const char** readPosition;
};

std::string escapePointerToken(std::string_view token)
{
    std::string escaped;
    for (const char c : token) {
        if (c == '~')
            escaped += "~0";
        else if (c == '/')
            escaped += "~1";
        else
            escaped += c;
    }
    return escaped;
}

// Follows the nesting of the parsed JSON and records the line of each key and array element.
class LineRecorder {
public:
    LineRecorder(std::string_view text, const char* const* readPosition, std::map<std::string, int>& lines)
        : countedPosition(text.data())
        , readPosition(readPosition)
        , lines(lines)
    {
    }

    void onEvent(nlohmann::json::parse_event_t event, const nlohmann::json& parsed)
    {
        using Event = nlohmann::json::parse_event_t;
        switch (event) {
        case Event::object_start:
        case Event::array_start:
            this->enterElement();
            this->levels.push_back({ event == Event::array_start, 0, {} });
            break;
        case Event::object_end:
        case Event::array_end:
            this->levels.pop_back();
            this->leaveElement();
            break;
        case Event::key:
            this->levels.back().token = escapePointerToken(parsed.get_ref<const std::string&>());
            this->recordLine();
            break;
        case Event::value:
            this->enterElement();
            this->leaveElement();
            break;
        }
    }

private:
    struct Level {
        bool isArray;
        int nextIndex;
        std::string token;
    };

    void enterElement()
    {
        if (this->levels.empty() || !this->levels.back().isArray)
            return;
        this->levels.back().token = std::to_string(this->levels.back().nextIndex);
        this->recordLine();
    }

    void leaveElement()
    {
        if (!this->levels.empty() && this->levels.back().isArray)
            ++this->levels.back().nextIndex;
    }

    void recordLine()
    {
        std::string pointer;
        for (const Level& level : this->levels)
            pointer += "/" + level.token;
        this->lines[pointer] = this->currentLine();
    }

    int currentLine()
    {
        for (; this->countedPosition < *this->readPosition; ++this->countedPosition) {
            if (*this->countedPosition == '\n')
                ++this->line;
        }
        return this->line;
    }

    const char* countedPosition;
    const char* const* readPosition;
    std::map<std::string, int>& lines;
    std::vector<Level> levels;
    int line = 1;
};

int lineAtOffset(std::string_view text, std::size_t offset)
{
    int line = 1;
    for (std::size_t i = 0; i < std::min(offset, text.size()); ++i) {
        if (text[i] == '\n')
            ++line;
    }
    return line;
}

} // namespace

int LocatedJson::findLine(std::string_view pointer) const
{
    std::string candidate(pointer);
    while (!candidate.empty()) {
        const auto found = this->lines.find(candidate);
        if (found != this->lines.end())
            return found->second;
        candidate.resize(candidate.rfind('/'));
    }
    return 1;
}

Result<LocatedJson> parseLocatedJson(std::string_view fileName, std::string_view text, ResultCode failure)
{
    LocatedJson located;
    located.fileName = fileName;
    const char* readPosition = text.data();
    LineRecorder recorder(text, &readPosition, located.lines);
    const auto callback = [&recorder](int, nlohmann::json::parse_event_t event, nlohmann::json& parsed) {
        recorder.onEvent(event, parsed);
        return true;
    };
    constexpr bool allowExceptions = true;
    constexpr bool ignoreComments = true;
    try {
        located.value = nlohmann::json::parse(CountingIterator(text.data(), &readPosition),
            CountingIterator(text.data() + text.size(), &readPosition), callback, allowExceptions, ignoreComments);
    } catch (const nlohmann::json::exception& exception) {
        // The parser stops after the offending character, so that character is the last one read.
        const auto read = static_cast<std::size_t>(readPosition - text.data());
        const std::size_t offset = read == 0 ? 0 : read - 1;
        return Error { failure,
            located.fileName + ":" + std::to_string(lineAtOffset(text, offset))
                + ": syntax error: " + exception.what() };
    }
    return located;
}

} // namespace Foundation
