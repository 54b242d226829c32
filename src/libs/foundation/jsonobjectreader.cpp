#include "jsonobjectreader.h"

namespace Foundation {

/**
 * @class JsonObjectReader
 * Reads the keys of one JSON object and collects an error message with file, line and key for each invalid value.
 */
JsonObjectReader::JsonObjectReader(const LocatedJson& source, std::string pointer, std::vector<std::string>& errors)
    : source(&source)
    , pointer(std::move(pointer))
    , errors(&errors)
{
    // The object is looked up only once, since a document can have tens of thousands of objects.
    const nlohmann::json::json_pointer where(this->pointer);
    if (source.value.contains(where))
        this->objectValue = &source.value.at(where);
    if (this->objectValue && !this->objectValue->is_object())
        this->fail("", "must be an object");
}

std::string JsonObjectReader::text(std::string_view key)
{
    if (!this->find(key)) {
        this->fail(key, "is required");
        return {};
    }
    return this->text(key, {});
}

std::string JsonObjectReader::text(std::string_view key, std::string_view fallback)
{
    const nlohmann::json* const value = this->find(key);
    if (!value)
        return std::string(fallback);
    if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
        this->fail(key, "must be a non-empty string");
        return std::string(fallback);
    }
    return value->get<std::string>();
}

std::int64_t JsonObjectReader::integer(
    std::string_view key, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback)
{
    const nlohmann::json* const value = this->find(key);
    if (!value)
        return fallback;
    const bool inRange
        = value->is_number_integer() && value->get<std::int64_t>() >= minimum && value->get<std::int64_t>() <= maximum;
    if (!inRange) {
        this->fail(key, "must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return fallback;
    }
    return value->get<std::int64_t>();
}

double JsonObjectReader::number(std::string_view key, double minimum, double maximum, double fallback)
{
    const nlohmann::json* const value = this->find(key);
    if (!value)
        return fallback;
    const bool inRange = value->is_number() && value->get<double>() >= minimum && value->get<double>() <= maximum;
    if (!inRange) {
        this->fail(key, "must be a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return fallback;
    }
    return value->get<double>();
}

bool JsonObjectReader::boolean(std::string_view key, bool fallback)
{
    const nlohmann::json* const value = this->find(key);
    if (!value)
        return fallback;
    if (!value->is_boolean()) {
        this->fail(key, "must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::vector<std::string> JsonObjectReader::textList(std::string_view key)
{
    const nlohmann::json* const value = this->find(key);
    std::vector<std::string> list;
    if (!value)
        return list;
    if (!value->is_array()) {
        this->fail(key, "must be a list");
        return list;
    }
    for (const nlohmann::json& element : *value) {
        if (!element.is_string()) {
            this->fail(key, "must contain only strings");
            return {};
        }
        list.push_back(element.get<std::string>());
    }
    return list;
}

std::vector<JsonObjectReader> JsonObjectReader::objects(std::string_view key)
{
    const nlohmann::json* const value = this->find(key);
    std::vector<JsonObjectReader> readers;
    if (!value)
        return readers;
    if (!value->is_array()) {
        this->fail(key, "must be a list");
        return readers;
    }
    for (std::size_t i = 0; i < value->size(); ++i)
        readers.emplace_back(*this->source, this->jsonPointer(key) + "/" + std::to_string(i), *this->errors);
    return readers;
}

JsonObjectReader JsonObjectReader::object(std::string_view key)
{
    this->find(key);
    return JsonObjectReader(*this->source, this->jsonPointer(key), *this->errors);
}

void JsonObjectReader::fail(std::string_view key, std::string_view message)
{
    const std::string where = key.empty() ? this->pointer : this->jsonPointer(key);
    this->errors->push_back(this->source->fileName + ":" + std::to_string(this->source->findLine(where)) + ": key '"
        + (where.empty() ? std::string("/") : where) + "' " + std::string(message));
}

void JsonObjectReader::rejectUnknownKeys()
{
    if (!this->objectValue || !this->objectValue->is_object())
        return;
    for (const auto& item : this->objectValue->items()) {
        if (!this->readKeys.contains(item.key()))
            this->fail(item.key(), "is unknown");
    }
}

const nlohmann::json* JsonObjectReader::find(std::string_view key)
{
    this->readKeys.emplace(key);
    if (!this->objectValue || !this->objectValue->is_object())
        return nullptr;
    const auto found = this->objectValue->find(std::string(key));
    return found == this->objectValue->end() ? nullptr : &*found;
}

std::string JsonObjectReader::jsonPointer(std::string_view key) const
{
    return (nlohmann::json::json_pointer(this->pointer) / std::string(key)).to_string();
}

} // namespace Foundation
