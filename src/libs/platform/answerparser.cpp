#include "answerparser.h"

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace Platform {

namespace {

namespace Http = boost::beast::http;

// All heads of an answer together, the interim ones (1xx) included. Servers commonly limit a head to 8 or 16 KB.
constexpr std::size_t maximumHeadBytes = 64 * 1024;
// The parsed form of a short line takes many times its size.
constexpr std::size_t maximumHeadLines = 512;
// The size line of a chunk with its extensions, or all trailers.
constexpr std::size_t maximumPartialFramingBytes = 8 * 1024;
// A body in chunks of one byte has five bytes of framing for each, which costs more time than it is worth.
constexpr std::size_t maximumFramingFactor = 4;
constexpr std::size_t freeFramingBytes = 64 * 1024;
constexpr unsigned switchingProtocols = 101;
constexpr unsigned firstStatus = 100;
constexpr unsigned firstFinalStatus = 200;
// RFC 9110, 15: others are invalid.
constexpr unsigned lastStatus = 599;
constexpr unsigned versionWithChunks = 11;

std::string_view toView(boost::beast::string_view text) { return { text.data(), text.size() }; }

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return boost::beast::iequals({ a.data(), a.size() }, { b.data(), b.size() });
}

} // namespace

struct AnswerParser::Parser : Http::basic_parser<false> {
    explicit Parser(bool isAnswerToHead)
    {
        this->eager(true);
        this->header_limit(static_cast<std::uint32_t>(2 * maximumHeadBytes));
        // The parser of this version takes no limit as a limit of 0.
        this->body_limit(std::numeric_limits<std::uint64_t>::max());
        this->skip(isAnswerToHead);
    }

    void on_request_impl(
        Http::verb, boost::beast::string_view, boost::beast::string_view, int, boost::beast::error_code&) override
    {
    }

    void on_response_impl(int code, boost::beast::string_view, int httpVersion, boost::beast::error_code&) override
    {
        this->status = static_cast<unsigned>(code);
        this->version = static_cast<unsigned>(httpVersion);
    }

    void on_field_impl(Http::field, boost::beast::string_view name, boost::beast::string_view value,
        boost::beast::error_code&) override
    {
        // Trailers are checked and dropped.
        if (!this->hasHead)
            this->fields.push_back({ std::string(toView(name)), std::string(toView(value)) });
    }

    void on_header_impl(boost::beast::error_code&) override { this->hasHead = true; }

    void on_body_init_impl(const boost::optional<std::uint64_t>&, boost::beast::error_code&) override { }

    std::size_t on_body_impl(boost::beast::string_view body, boost::beast::error_code&) override
    {
        this->content->append(body.data(), body.size());
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t, boost::beast::string_view, boost::beast::error_code&) override { }

    std::size_t on_chunk_body_impl(std::uint64_t, boost::beast::string_view body, boost::beast::error_code&) override
    {
        this->content->append(body.data(), body.size());
        return body.size();
    }

    void on_finish_impl(boost::beast::error_code&) override { }

    bool hasHead = false;
    unsigned status = 0;
    unsigned version = 0;
    std::vector<HttpField> fields;
    /** Receives the body; only valid while bytes of it are parsed. */
    std::string* content = nullptr;
};

AnswerParser::AnswerParser(std::string_view method)
    : isAnswerToHead(method == "HEAD")
    , parser(std::make_unique<Parser>(this->isAnswerToHead))
{
}

AnswerParser::~AnswerParser() = default;

bool AnswerParser::fail(std::string_view reason)
{
    if (this->foundDefect.empty())
        this->foundDefect = reason;
    return false;
}

bool AnswerParser::parseHeadLine(std::string_view line)
{
    this->receivedHeadBytes += line.size();
    if (this->receivedHeadBytes > maximumHeadBytes || ++this->receivedLines > maximumHeadLines)
        return this->fail("the head of the answer is too long");
    if (!line.ends_with("\r\n"))
        return this->fail("a line of the answer's head has no valid end");
    // libcurl and this parser might take a folded field for different ones.
    if (line.starts_with(' ') || line.starts_with('\t'))
        return this->fail("a field of the answer is folded");
    this->head += line;
    return line == "\r\n" ? this->finishHead() : true;
}

bool AnswerParser::finishHead()
{
    boost::beast::error_code error;
    this->parser->put(boost::asio::const_buffer(this->head.data(), this->head.size()), error);
    this->head = {};
    const bool isParsed = !error || (error == Http::error::need_more && this->parser->hasHead);
    if (!isParsed || !this->parser->hasHead)
        return this->fail("the head of the answer is malformed");
    if (this->parser->status < firstStatus || this->parser->status > lastStatus)
        return this->fail("the status of the answer is invalid");
    if (this->parser->status == switchingProtocols)
        return this->fail("the answer changes the protocol, which was not asked for");
    if (this->parser->status < firstFinalStatus) {
        this->parser = std::make_unique<Parser>(this->isAnswerToHead);
        return true;
    }
    const auto isEncoding = [](const HttpField& field) { return equalsIgnoringCase(field.name, "Transfer-Encoding"); };
    const auto encoding = std::ranges::find_if(this->parser->fields, isEncoding);
    if (encoding == this->parser->fields.end())
        return true;
    // No other coding was offered to the server, and HTTP/1.0 has none.
    const bool isUsable = equalsIgnoringCase(encoding->value, "chunked")
        && std::ranges::count_if(this->parser->fields, isEncoding) == 1 && this->parser->version == versionWithChunks;
    return isUsable || this->fail("the transfer coding of the answer is not usable");
}

bool AnswerParser::parseBody(std::string_view bytes, std::string& content)
{
    if (!this->foundDefect.empty())
        return false;
    const std::size_t sizeBefore = content.size();
    this->parser->content = &content;
    this->framingBytes += bytes.size();
    std::string joined;
    if (!this->partialFraming.empty()) {
        joined = std::exchange(this->partialFraming, {});
        joined += bytes;
        bytes = joined;
    }
    boost::beast::error_code error;
    while (!bytes.empty() && !error && !this->parser->is_done())
        bytes.remove_prefix(this->parser->put(boost::asio::const_buffer(bytes.data(), bytes.size()), error));
    this->parser->content = nullptr;
    if (error && error != Http::error::need_more)
        return this->fail("the framing of the answer's body is malformed");
    this->contentBytes += content.size() - sizeBefore;
    this->framingBytes -= content.size() - sizeBefore;
    if (this->parser->is_done()) {
        this->hasExcessBytes = this->hasExcessBytes || !bytes.empty();
        return true;
    }
    this->partialFraming = bytes;
    if (this->partialFraming.size() > maximumPartialFramingBytes
        || this->framingBytes > freeFramingBytes + maximumFramingFactor * this->contentBytes)
        return this->fail("the framing of the answer's body is too long");
    return true;
}

bool AnswerParser::finish()
{
    if (!this->foundDefect.empty())
        return false;
    if (!this->isHeadComplete())
        return this->fail("the connection was closed in the head of the answer");
    if (this->parser->is_done())
        return true;
    boost::beast::error_code error;
    this->parser->put_eof(error);
    return !error || this->fail("the connection was closed in the body of the answer");
}

bool AnswerParser::isHeadComplete() const { return this->parser->hasHead; }

const std::vector<HttpField>& AnswerParser::fields() const { return this->parser->fields; }

BodyFraming AnswerParser::framing() const
{
    if (this->parser->chunked())
        return BodyFraming::Chunks;
    return this->parser->need_eof() ? BodyFraming::ConnectionClose : BodyFraming::Length;
}

} // namespace Platform
