#pragma once

#include <iosfwd>
#include <map>
#include <string>

/** The head of a request that a stand-in reads from a socket itself. */
struct RawRequest {
    std::string path;
    std::map<std::string, std::string> headers;

    /** Returns the value of a header, or an empty string if there is none. */
    std::string header(const std::string& name) const;

    /** Returns the length of the body that follows the head. */
    std::size_t bodyBytes() const;
};

/** Reads the head of a request up to its empty line. */
RawRequest readRawRequest(std::istream& stream);

/** Returns data as a chunk of a body that is sent in chunks. */
std::string makeChunk(const std::string& data);
