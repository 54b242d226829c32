#include "promptfields.h"

#include <nlohmann/json.hpp>

namespace Entry {

namespace {

constexpr std::int64_t maximumTokensLimit = 1'000'000;

// Collects three fields of the outermost object during SAX parsing. A prompt can be megabytes long, so no document tree
// is built.
class FieldCollector final : public nlohmann::json_sax<nlohmann::json> {
public:
    bool null() override { return this->onOtherValue(); }
    bool boolean(bool value) override
    {
        if (this->isAtField("stream"))
            this->fields.stream = value;
        return this->onScalar("stream");
    }
    bool number_integer(number_integer_t value) override { return this->onInteger(value); }
    bool number_unsigned(number_unsigned_t value) override
    {
        // Clamped, since a larger value could become a valid one in the conversion.
        return this->onInteger(static_cast<std::int64_t>(std::min<std::uint64_t>(value, maximumTokensLimit + 1)));
    }
    bool number_float(number_float_t, const string_t&) override { return this->onOtherValue(); }
    bool string(string_t& value) override
    {
        if (this->isAtField("model"))
            this->fields.model = value;
        return this->onScalar("model");
    }
    bool binary(binary_t&) override { return this->onOtherValue(); }
    bool start_object(std::size_t) override { return this->beginContainer(); }
    bool key(string_t& value) override
    {
        if (this->depth == 1)
            this->currentKey = value;
        return true;
    }
    bool end_object() override { return this->endContainer(); }
    bool start_array(std::size_t) override { return this->depth > 0 && this->beginContainer(); }
    bool end_array() override { return this->endContainer(); }
    bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception&) override { return false; }

    PromptFields fields;

private:
    bool isAtField(std::string_view name) const { return this->depth == 1 && this->currentKey == name; }

    bool isAtCollectedField() const
    {
        return this->isAtField("model") || this->isAtField("stream") || this->isAtField("max_tokens");
    }

    // Returns whether a boolean or string is allowed here. Of the collected fields only the expected one has this type.
    bool onScalar(std::string_view expectedField) const
    {
        return this->depth > 0 && (!this->isAtCollectedField() || this->isAtField(expectedField));
    }

    bool onOtherValue() const { return this->depth > 0 && !this->isAtCollectedField(); }

    bool onInteger(std::int64_t value)
    {
        if (!this->isAtField("max_tokens"))
            return this->onOtherValue();
        this->fields.maximumTokens = value;
        return value >= 1 && value <= maximumTokensLimit;
    }

    bool beginContainer()
    {
        if (this->isAtCollectedField())
            return false;
        ++this->depth;
        return true;
    }

    bool endContainer()
    {
        --this->depth;
        return true;
    }

    int depth = 0;
    std::string currentKey;
};

} // namespace

std::optional<PromptFields> parsePromptFields(std::string_view body)
{
    FieldCollector collector;
    if (!nlohmann::json::sax_parse(body, &collector) || collector.fields.model.empty())
        return std::nullopt;
    return std::move(collector.fields);
}

} // namespace Entry
