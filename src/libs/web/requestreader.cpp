#include "requestreader.h"

#include "httprequest.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

namespace Web {

namespace {

// The method, the version and the line ends of a head.
constexpr std::size_t requestLineBytes = 64;
// ":" and the line end; a blank before the value is optional.
constexpr std::size_t fieldFramingBytes = 3;
// What a connection occupies for a request apart from its head and body.
constexpr std::size_t fixedBytes = 1024;
constexpr std::size_t firstBodyBytes = 4096;
// What a complete request occupies apart from its head and body: its exchange, and a call with its buffers.
constexpr std::size_t servedBytes = 32 * 1024;
// The text of a head is held by the server, in the list of fields, in the lines for the upstream and by libcurl.
constexpr std::size_t headCopies = 4;
// The strings and list nodes of all these copies of a field.
constexpr std::size_t fieldOverheadBytes = 256;

/** A body with the share that accounts for it. */
struct ReceivedBody {
    std::string text;
    std::shared_ptr<ReceiveMemory::Share> share;
};

// The server hands the body over by itself, so the parser of the request must not expect one.
bool describesFraming(std::string_view name)
{
    return equalsIgnoringCase(name, "content-length") || equalsIgnoringCase(name, "transfer-encoding")
        || equalsIgnoringCase(name, "trailer");
}

} // namespace

/** The callbacks of the parser; a result other than 0 ends the parsing. */
struct RequestReader::Callbacks {
    static RequestReader& reader(http_parser* parser) { return *static_cast<RequestReader*>(parser->data); }

    static int result(bool isAccepted) { return isAccepted ? 0 : -1; }

    static int onTarget(http_parser* parser, const char* at, std::size_t length)
    {
        return result(reader(parser).appendTarget({ at, length }));
    }

    static int onFieldName(http_parser* parser, const char* at, std::size_t length)
    {
        return result(reader(parser).appendFieldName({ at, length }));
    }

    static int onFieldValue(http_parser* parser, const char* at, std::size_t length)
    {
        return result(reader(parser).appendFieldValue({ at, length }));
    }

    static int onHeadComplete(http_parser* parser) { return result(reader(parser).finishHead()); }

    static int onChunkHead(http_parser* parser) { return result(reader(parser).beginChunk()); }

    static int onBody(http_parser* parser, const char* at, std::size_t length)
    {
        return result(reader(parser).appendBody({ at, length }));
    }

    static int onComplete(http_parser* parser)
    {
        reader(parser).isComplete = true;
        http_parser_pause(parser, 1);
        return 0;
    }

    static const http_parser_settings& all()
    {
        static const http_parser_settings settings = [] {
            http_parser_settings callbacks;
            http_parser_settings_init(&callbacks);
            callbacks.on_url = &onTarget;
            callbacks.on_header_field = &onFieldName;
            callbacks.on_header_value = &onFieldValue;
            callbacks.on_headers_complete = &onHeadComplete;
            callbacks.on_chunk_header = &onChunkHead;
            callbacks.on_body = &onBody;
            callbacks.on_message_complete = &onComplete;
            return callbacks;
        }();
        return settings;
    }
};

RequestReader::RequestReader()
{
    // The parser's own limit for heads is lower than what settings and documents may name.
    static const bool isParserLimitLifted [[maybe_unused]] = [] {
        http_parser_set_max_header_size(std::numeric_limits<std::uint32_t>::max());
        return true;
    }();
    http_parser_init(&this->parser, HTTP_REQUEST);
}

void RequestReader::restart(const ReceiveLimits& newLimits, std::shared_ptr<ReceiveMemory::Share> newShare)
{
    this->clear();
    this->limits = newLimits;
    this->share = std::move(newShare);
    http_parser_init(&this->parser, HTTP_REQUEST);
    this->parser.data = this;
    this->emptyLineBytes = this->headBytes = this->fieldBytes = this->fields = this->framingBytes = 0;
    this->hasBegun = this->isValueRead = this->isHeadComplete = this->isLastChunk = false;
    this->isComplete = this->isRefused = false;
}

void RequestReader::clear()
{
    for (std::string* const text : { &this->target, &this->fieldName, &this->fieldValue, &this->head, &this->body })
        std::string().swap(*text);
    this->share.reset();
}

RequestReader::Phase RequestReader::phase() const
{
    if (!this->hasBegun)
        return Phase::Idle;
    return this->isHeadComplete ? Phase::Body : Phase::Head;
}

std::size_t RequestReader::skipEmptyLines(std::string_view data)
{
    const std::size_t count = std::min(data.find_first_not_of("\r\n"), data.size());
    this->emptyLineBytes += count;
    if (this->emptyLineBytes > this->limits.maximumEmptyLineBytes)
        this->refuse(ClientRefusal::EmptyLines);
    this->hasBegun = count < data.size();
    return count;
}

RequestReader::Result RequestReader::read(std::string_view data)
{
    std::size_t skipped = 0;
    if (!this->hasBegun) {
        skipped = this->skipEmptyLines(data);
        data.remove_prefix(skipped);
    }
    if (this->isRefused)
        return { Outcome::Refused, skipped, this->reason };
    if (data.empty())
        return { Outcome::Incomplete, skipped };
    this->cursor = data.data();
    const std::size_t parsed = http_parser_execute(&this->parser, &Callbacks::all(), data.data(), data.size());
    if (this->isRefused)
        return { Outcome::Refused, skipped + parsed, this->reason };
    if (this->isComplete) {
        const std::size_t occupied
            = servedBytes + this->body.capacity() + headCopies * this->head.size() + fieldOverheadBytes * this->fields;
        if (const auto refusal = this->share->complete(occupied))
            return { Outcome::Refused, skipped + parsed, *refusal };
        return { Outcome::Complete, skipped + parsed };
    }
    if (HTTP_PARSER_ERRNO(&this->parser) != HPE_OK) {
        return { Outcome::Refused, skipped + parsed, ClientRefusal::MalformedRequest };
    }
    if (this->isHeadComplete) {
        this->framingBytes += static_cast<std::size_t>(data.data() + data.size() - this->cursor);
        if (this->isFramingTooLong())
            this->refuseFraming();
    } else {
        this->headBytes += data.size();
        // Bytes that the parser skips, such as blanks before a value, are not in any field.
        const std::size_t limit = this->limits.maximumHeaderBytes + this->target.size() + requestLineBytes;
        const std::size_t occupied = this->head.capacity() + this->target.capacity() + this->fieldValue.capacity()
            + this->fieldName.capacity() + fixedBytes;
        if (this->headBytes > limit)
            this->refuse(ClientRefusal::HeadTooLarge);
        else if (!this->share->resize(occupied))
            this->refuse(ClientRefusal::MemoryFull);
    }
    return { this->isRefused ? Outcome::Refused : Outcome::Incomplete, skipped + parsed, this->reason };
}

bool RequestReader::refuse(ClientRefusal newReason)
{
    this->isRefused = true;
    this->reason = newReason;
    return false;
}

bool RequestReader::appendTarget(std::string_view text)
{
    this->target += text;
    return this->target.size() <= this->limits.maximumTargetBytes || this->refuse(ClientRefusal::HeadTooLarge);
}

bool RequestReader::appendFieldName(std::string_view text)
{
    if (this->isHeadComplete)
        return true;
    if (this->isValueRead)
        this->finishField();
    this->fieldName += text;
    return this->countFieldBytes(text.size());
}

bool RequestReader::appendFieldValue(std::string_view text)
{
    if (this->isHeadComplete)
        return true;
    this->isValueRead = true;
    this->fieldValue += text;
    this->cursor = text.data() + text.size();
    return this->countFieldBytes(text.size());
}

bool RequestReader::countFieldBytes(std::size_t bytes)
{
    this->fieldBytes += bytes;
    const std::size_t total = this->fieldBytes + this->fields * fieldFramingBytes;
    if (total > this->limits.maximumHeaderBytes || this->fields >= this->limits.maximumFields)
        return this->refuse(ClientRefusal::HeadTooLarge);
    return true;
}

void RequestReader::finishField()
{
    if (!this->fieldName.empty() && !describesFraming(this->fieldName))
        this->head += this->fieldName + ": " + this->fieldValue + "\r\n";
    this->fieldName.clear();
    this->fieldValue.clear();
    this->isValueRead = false;
    ++this->fields;
}

bool RequestReader::finishHead()
{
    this->finishField();
    this->isHeadComplete = true;
    std::string firstLine = http_method_str(static_cast<http_method>(this->parser.method));
    firstLine += " " + this->target + " HTTP/" + std::to_string(this->parser.http_major) + "."
        + std::to_string(this->parser.http_minor) + "\r\n";
    this->head = firstLine + this->head + "\r\n";
    std::string().swap(this->target);
    const bool isChunked = (this->parser.flags & F_CHUNKED) != 0;
    const bool isAnnounced = !isChunked && (this->parser.flags & F_CONTENTLENGTH) != 0;
    if (isAnnounced && this->parser.content_length > this->limits.maximumBodyBytes)
        return this->refuse(ClientRefusal::BodyTooLarge);
    return this->share->resize(fixedBytes + this->head.capacity()) || this->refuse(ClientRefusal::MemoryFull);
}

bool RequestReader::beginChunk()
{
    this->isLastChunk = this->parser.content_length == 0;
    return this->parser.content_length <= this->limits.maximumBodyBytes - this->body.size()
        || this->refuse(ClientRefusal::BodyTooLarge);
}

bool RequestReader::appendBody(std::string_view text)
{
    this->framingBytes += static_cast<std::size_t>(text.data() - this->cursor);
    if (this->isFramingTooLong())
        return this->refuseFraming();
    this->framingBytes = 0;
    this->cursor = text.data() + text.size();
    const std::size_t needed = this->body.size() + text.size();
    if (needed > this->limits.maximumBodyBytes)
        return this->refuse(ClientRefusal::BodyTooLarge);
    if (needed > this->body.capacity() && !this->reserveBody(needed))
        return this->refuse(ClientRefusal::MemoryFull);
    this->body += text;
    this->share->addReceived(text.size());
    return true;
}

// std::string would double its capacity, and take all of an announced length before it is received.
bool RequestReader::reserveBody(std::size_t bytes)
{
    std::size_t capacity = std::max({ bytes, firstBodyBytes, this->body.capacity() / 2 * 3 });
    capacity = std::min<std::size_t>(capacity, std::max<std::size_t>(bytes, this->limits.maximumBodyBytes));
    if ((this->parser.flags & F_CHUNKED) == 0)
        capacity = std::min<std::size_t>(capacity, bytes + this->parser.content_length);
    if (!this->share->resize(fixedBytes + this->head.capacity() + capacity))
        return false;
    std::string larger;
    larger.reserve(capacity);
    larger += this->body;
    this->body = std::move(larger);
    return true;
}

std::size_t RequestReader::framingLimit() const
{
    return this->isLastChunk ? this->limits.maximumTrailerBytes : this->limits.maximumChunkHeadBytes;
}

bool RequestReader::refuseFraming()
{
    return this->refuse(this->isLastChunk ? ClientRefusal::TrailersTooLarge : ClientRefusal::ChunkHeadTooLarge);
}

std::shared_ptr<const std::string> RequestReader::takeBody()
{
    auto received = std::make_shared<ReceivedBody>();
    received->text = std::move(this->body);
    received->share = std::move(this->share);
    return { received, &received->text };
}

} // namespace Web
