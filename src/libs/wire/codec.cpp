#include "codec.h"

#include "messagefields.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <concepts>
#include <type_traits>
#include <utility>

namespace Wire {

namespace {

using Foundation::Error;
using Foundation::Result;
using Foundation::ResultCode;
using Json = nlohmann::json;

constexpr const char* typeKey = "t";
const std::string erasSuffix = "Eras";

Quarantine::CrashCertainty certaintyFromNumber(std::uint64_t number)
{
    return number < static_cast<std::uint64_t>(Quarantine::CrashCertainty::Confirmed)
        ? static_cast<Quarantine::CrashCertainty>(number)
        : Quarantine::CrashCertainty::Confirmed;
}

// Messages have fewer levels. The parser calls itself for each level.
constexpr std::size_t maximumNesting = 32;

// Builds a value from the events of the parser, and ends parsing at a value that is nested too deeply.
class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<Json> {
public:
    explicit BoundedBuilder(Json& result)
        : json_sax_dom_parser(result, /* allow_exceptions */ true)
    {
    }

    bool start_object(std::size_t size) { return this->enter() && json_sax_dom_parser::start_object(size); }

    bool end_object()
    {
        --this->depth;
        return json_sax_dom_parser::end_object();
    }

    bool start_array(std::size_t size) { return this->enter() && json_sax_dom_parser::start_array(size); }

    bool end_array()
    {
        --this->depth;
        return json_sax_dom_parser::end_array();
    }

private:
    bool enter() { return ++this->depth <= maximumNesting; }

    std::size_t depth = 0;
};

// Older processes send no certainty and count every notice.
Quarantine::CrashCertainty certaintyOf(const Json& notice)
{
    constexpr std::size_t certaintyIndex = 2;
    if (notice.size() <= certaintyIndex)
        return Quarantine::CrashCertainty::Confirmed;
    return certaintyFromNumber(notice.at(certaintyIndex).get<std::uint64_t>());
}

// Omits empty strings, zeros and false, since these are the default values on decoding.
struct FieldWriter {
    Json& object;

    void operator()(const char* key, const std::string& value)
    {
        if (!value.empty())
            this->object[key] = value;
    }

    void operator()(const char* key, bool value)
    {
        if (value)
            this->object[key] = value;
    }

    void operator()(const char* key, std::integral auto value)
    {
        if (value != 0)
            this->object[key] = value;
    }

    template <typename Enum>
    requires std::is_enum_v<Enum>
    void operator()(const char* key, Enum value) { this->object[key] = static_cast<std::uint64_t>(value); }

    void operator()(const char* key, const Membership::UpstreamLoad& load);
    void operator()(const char* key, const std::vector<PeerLoad>& loads);
    void operator()(const char* key, const std::vector<std::string>& list) { this->object[key] = list; }

    void operator()(const char* key, const std::vector<Quarantine::CrashNotice>& crashes)
    {
        Json list = Json::array();
        for (const Quarantine::CrashNotice& notice : crashes)
            list.push_back({ notice.fingerprint, notice.crash, static_cast<std::uint64_t>(notice.certainty) });
        this->object[key] = std::move(list);
    }

    void operator()(const char* key, const std::vector<PartCrashNotice>& crashes)
    {
        Json list = Json::array();
        for (const PartCrashNotice& notice : crashes)
            list.push_back({ notice.crash, static_cast<std::uint64_t>(notice.certainty), notice.aliveAgeMs,
                notice.lostAgeMs, notice.parts });
        this->object[key] = std::move(list);
    }

    void operator()(const char* key, const std::vector<PartCompletionNotice>& completions)
    {
        Json list = Json::array();
        for (const PartCompletionNotice& notice : completions)
            list.push_back({ notice.part, notice.ageMs });
        this->object[key] = std::move(list);
    }

    void operator()(const char* key, const std::vector<Quarantine::RequestCompletion>& completions)
    {
        Json list = Json::array();
        for (const Quarantine::RequestCompletion& completion : completions)
            list.push_back({ completion.fingerprint, Foundation::toMilliseconds(completion.age), completion.count });
        this->object[key] = std::move(list);
    }

    void operator()(const char* key, const std::vector<RateLimit::LimitNotice>& notices)
    {
        Json list = Json::array();
        for (const RateLimit::LimitNotice& notice : notices) {
            Json item = { notice.upstreamGeneration, Foundation::toMilliseconds(notice.age) };
            if (notice.requestsPerSecond)
                item.push_back(*notice.requestsPerSecond);
            list.push_back(std::move(item));
        }
        this->object[key] = std::move(list);
    }

    void operator()(const char* key, const std::vector<Placement::UpstreamUsage>& usages)
    {
        Json list = Json::array();
        for (const Placement::UpstreamUsage& usage : usages) {
            Json groups = Json::array();
            for (const auto& [gapTarget, group] : usage.streamsByGapMs)
                groups.push_back({ gapTarget, group.count, group.weight });
            list.push_back({ usage.upstream, usage.prefillUs, usage.requests, usage.reservedTokens, std::move(groups),
                usage.ownPrefillUs });
        }
        this->object[key] = std::move(list);
    }

    void operator()(const char* key, const std::vector<StoreCache::KeyedRecord>& records)
    {
        Json list = Json::array();
        for (const StoreCache::KeyedRecord& record : records) {
            Json item = { record.key, record.offset };
            if (record.value)
                item.push_back(Json::binary(std::vector<std::uint8_t>(record.value->begin(), record.value->end())));
            list.push_back(std::move(item));
        }
        this->object[key] = std::move(list);
        if (std::ranges::all_of(records, [](const auto& record) { return record.era == 0; }))
            return;
        // A list of its own, since earlier versions take a third element of an item for the value.
        Json eras = Json::array();
        for (const StoreCache::KeyedRecord& record : records)
            eras.push_back(record.era);
        this->object[key + erasSuffix] = std::move(eras);
    }

    /** Writes binary data, which need not be valid UTF-8. */
    void bytes(const char* key, const std::string& value)
    {
        if (value.empty())
            return;
        this->object[key] = Json::binary(std::vector<std::uint8_t>(value.begin(), value.end()));
    }
};

// Keeps the current value of a field that is missing.
struct FieldReader {
    const Json& object;

    const Json* find(const char* key) const
    {
        const auto found = this->object.find(key);
        return found == this->object.end() ? nullptr : &*found;
    }

    void operator()(const char* key, std::string& value) const { this->readAs(key, value); }
    void operator()(const char* key, bool& value) const { this->readAs(key, value); }
    void operator()(const char* key, std::uint64_t& value) const { this->readAs(key, value); }
    void operator()(const char* key, std::int64_t& value) const { this->readAs(key, value); }
    void operator()(const char* key, int& value) const { this->readAs(key, value); }
    void operator()(const char* key, std::vector<std::string>& value) const { this->readAs(key, value); }

    void operator()(const char* key, ResultCode& value) const
    {
        if (const Json* const found = this->find(key))
            value = Foundation::resultCodeFromNumber(found->get<std::uint64_t>());
    }

    void operator()(const char* key, Foundation::RunOutcome& value) const
    {
        this->readEnum(key, value, Foundation::RunOutcome::Ran);
    }

    void operator()(const char* key, WorkKind& value) const { this->readEnum(key, value, WorkKind::ServiceCall); }

    void operator()(const char* key, Membership::Availability& value) const
    {
        this->readEnum(key, value, Membership::Availability::Down);
    }

    void operator()(const char* key, StoreCache::TopicUpdate::Kind& value) const
    {
        this->readEnum(key, value, StoreCache::TopicUpdate::Kind::Listing);
    }

    void operator()(const char* key, UpdateScope& value) const { this->readEnum(key, value, UpdateScope::AllGateways); }

    void operator()(const char* key, Membership::UpstreamLoad& load) const;
    void operator()(const char* key, std::vector<PeerLoad>& loads) const;

    void operator()(const char* key, std::vector<Quarantine::CrashNotice>& crashes) const
    {
        const Json* const found = this->find(key);
        if (!found)
            return;
        for (const Json& item : *found)
            crashes.push_back({ item.at(0).get<std::string>(), item.at(1).get<std::string>(), certaintyOf(item) });
    }

    void operator()(const char* key, std::vector<PartCrashNotice>& crashes) const
    {
        const Json* const found = this->find(key);
        if (!found)
            return;
        for (const Json& item : *found)
            crashes.push_back({ item.at(0).get<std::string>(), certaintyFromNumber(item.at(1).get<std::uint64_t>()),
                item.at(2).get<std::int64_t>(), item.at(3).get<std::int64_t>(),
                item.at(4).get<std::vector<std::uint64_t>>() });
    }

    void operator()(const char* key, std::vector<PartCompletionNotice>& completions) const
    {
        const Json* const found = this->find(key);
        if (!found)
            return;
        for (const Json& item : *found)
            completions.push_back({ item.at(0).get<std::uint64_t>(), item.at(1).get<std::int64_t>() });
    }

    void operator()(const char* key, std::vector<Quarantine::RequestCompletion>& completions) const
    {
        const Json* const found = this->find(key);
        if (!found)
            return;
        for (const Json& item : *found)
            completions.push_back({ item.at(0).get<std::string>(),
                std::chrono::milliseconds(item.at(1).get<std::int64_t>()), item.at(2).get<std::size_t>() });
    }

    void operator()(const char* key, std::vector<RateLimit::LimitNotice>& notices) const
    {
        const Json* const found = this->find(key);
        if (!found)
            return;
        for (const Json& item : *found) {
            RateLimit::LimitNotice notice { item.at(0).get<std::string>(), std::nullopt,
                std::chrono::milliseconds(item.at(1).get<std::int64_t>()) };
            if (item.size() > 2)
                notice.requestsPerSecond = item.at(2).get<double>();
            notices.push_back(std::move(notice));
        }
    }

    void operator()(const char* key, std::vector<Placement::UpstreamUsage>& usages) const
    {
        const Json* const found = this->find(key);
        if (!found)
            return;
        for (const Json& item : *found) {
            Placement::UpstreamUsage usage { item.at(0).get<std::string>(), item.at(1).get<std::int64_t>(),
                item.at(2).get<std::int64_t>(), item.at(3).get<std::int64_t>(), {}, item.at(5).get<std::int64_t>() };
            for (const Json& group : item.at(4))
                usage.streamsByGapMs[group.at(0).get<std::int64_t>()]
                    = { group.at(1).get<std::int64_t>(), group.at(2).get<std::int64_t>() };
            usages.push_back(std::move(usage));
        }
    }

    void operator()(const char* key, std::vector<StoreCache::KeyedRecord>& records) const
    {
        const Json* const found = this->find(key);
        if (!found)
            return;
        for (const Json& item : *found) {
            StoreCache::KeyedRecord record { item.at(0).get<std::string>(), std::nullopt,
                item.at(1).get<std::uint64_t>() };
            if (item.size() > 2) {
                const auto& binary = item.at(2).get_ref<const Json::binary_t&>();
                record.value = std::string(binary.begin(), binary.end());
            }
            records.push_back(std::move(record));
        }
        const Json* const eras = this->find((key + erasSuffix).c_str());
        for (std::size_t i = 0; eras && i < std::min(eras->size(), records.size()); ++i)
            records[i].era = eras->at(i).get<std::uint64_t>();
    }

    void bytes(const char* key, std::string& value) const
    {
        const Json* const found = this->find(key);
        if (!found)
            return;
        const auto& binary = found->get_ref<const Json::binary_t&>();
        value.assign(binary.begin(), binary.end());
    }

private:
    template <typename T> void readAs(const char* key, T& value) const
    {
        if (const Json* const found = this->find(key))
            value = found->get<T>();
    }

    template <typename Enum> void readEnum(const char* key, Enum& value, Enum last) const
    {
        const Json* const found = this->find(key);
        if (!found)
            return;
        const auto number = found->get<std::uint64_t>();
        if (number > static_cast<std::uint64_t>(last))
            throw std::out_of_range("an enumeration value is out of range");
        value = static_cast<Enum>(number);
    }
};

void FieldWriter::operator()(const char* key, const std::vector<PeerLoad>& loads)
{
    Json list = Json::array();
    for (const PeerLoad& load : loads) {
        Json nested = Json::object();
        visitPeerLoad(FieldWriter { nested }, load);
        list.push_back(std::move(nested));
    }
    this->object[key] = std::move(list);
}

void FieldReader::operator()(const char* key, std::vector<PeerLoad>& loads) const
{
    const Json* const found = this->find(key);
    if (!found)
        return;
    for (const Json& item : *found)
        visitPeerLoad(FieldReader { item }, loads.emplace_back());
}

void FieldWriter::operator()(const char* key, const Membership::UpstreamLoad& load)
{
    Json nested = Json::object();
    visitLoad(FieldWriter { nested }, load);
    this->object[key] = std::move(nested);
}

void FieldReader::operator()(const char* key, Membership::UpstreamLoad& load) const
{
    const Json* const found = this->find(key);
    if (!found)
        return;
    visitLoad(FieldReader { *found }, load);
}

template <typename T> constexpr bool belongsToAttempt = requires(T message) { message.attempt; };

template <typename T> Message readMessage(const Json& object)
{
    T message;
    visit(FieldReader { object }, message);
    if constexpr (belongsToAttempt<T>) {
        if (message.attempt.empty())
            throw std::invalid_argument("a message has no attempt identifier");
    }
    return message;
}

template <std::size_t Index = 0> Message readByIndex(std::uint64_t type, const Json& object)
{
    if constexpr (Index < std::variant_size_v<Message>) {
        if (type == Index)
            return readMessage<std::variant_alternative_t<Index, Message>>(object);
        return readByIndex<Index + 1>(type, object);
    } else {
        throw std::out_of_range("a message has an unknown type");
    }
}

} // namespace

std::string encode(std::span<const Message> messages)
{
    Json frame = Json::array();
    for (const Message& message : messages) {
        Json object = Json::object();
        object[typeKey] = message.index();
        std::visit([&object](const auto& typed) { visit(FieldWriter { object }, typed); }, message);
        frame.push_back(std::move(object));
    }
    std::string bytes;
    Json::to_cbor(frame, bytes);
    return bytes;
}

Result<std::vector<Message>> decode(std::string_view bytes)
{
    if (bytes.size() > maximumMessageBytes)
        return Error { ResultCode::MalformedMessage, "the frame exceeds 32 MiB" };
    std::vector<Message> messages;
    try {
        Json frame;
        BoundedBuilder builder(frame);
        if (!Json::sax_parse(bytes, &builder, Json::input_format_t::cbor))
            return Error { ResultCode::MalformedMessage, "the frame is nested too deeply" };
        if (!frame.is_array())
            return Error { ResultCode::MalformedMessage, "a frame must be a list of messages" };
        for (const Json& object : frame)
            messages.push_back(readByIndex(object.at(typeKey).get<std::uint64_t>(), object));
    } catch (const std::exception& exception) {
        return Error { ResultCode::MalformedMessage, exception.what() };
    }
    return messages;
}

} // namespace Wire
