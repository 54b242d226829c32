#pragma once

#include "locatedjson.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Foundation {

class JsonObjectReader {
public:
    /**
     * @param source the parsed file; must outlive the reader.
     * @param pointer the JSON pointer of the object to read; empty for the root.
     * @param errors receives one message for each error; must outlive the reader.
     */
    JsonObjectReader(const LocatedJson& source, std::string pointer, std::vector<std::string>& errors);

    /** Reads a required string. Returns an empty string after an error. */
    std::string text(std::string_view key);

    /** Reads an optional string. Returns the fallback if the key is missing or after an error. */
    std::string text(std::string_view key, std::string_view fallback);

    /**
     * Reads an optional integer in [minimum, maximum]. Returns the fallback if the key is missing or after an error.
     */
    std::int64_t integer(std::string_view key, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback);

    /** Reads an optional number in [minimum, maximum]. Returns the fallback if the key is missing or after an error. */
    double number(std::string_view key, double minimum, double maximum, double fallback);

    /** Reads an optional boolean. Returns the fallback if the key is missing or after an error. */
    bool boolean(std::string_view key, bool fallback);

    /** Reads an optional list of strings. Returns an empty list if the key is missing or after an error. */
    std::vector<std::string> textList(std::string_view key);

    /** Reads an optional list of objects. Returns one reader for each object. */
    std::vector<JsonObjectReader> objects(std::string_view key);

    /** Reads an optional object. Without the key, the returned reader behaves as for an empty object. */
    JsonObjectReader object(std::string_view key);

    /**
     * Adds an error with the file, line and key that it concerns.
     * @param key the key in this object; empty for the object itself.
     * @param message the text that follows the key, such as "must be positive".
     */
    void fail(std::string_view key, std::string_view message);

    /** Adds an error for every key that has not been read. */
    void rejectUnknownKeys();

private:
    const nlohmann::json* find(std::string_view key);
    std::string jsonPointer(std::string_view key) const;

    const LocatedJson* source;
    const nlohmann::json* objectValue = nullptr;
    std::string pointer;
    std::vector<std::string>* errors;
    std::set<std::string, std::less<>> readKeys;
};

} // namespace Foundation
