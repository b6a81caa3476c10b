#ifndef AV_HTTP_REQUEST_READER_HPP
#define AV_HTTP_REQUEST_READER_HPP

#include <av_http/header_dialect.hpp>
#include <av_http/http_limits.hpp>
#include <av_http/read_result.hpp>
#include <av_http/request_head.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace anvilturn
{

// Reads successive requests from the bytes of a caller's connection. It buffers
// no input: pass the bytes that it did not consume again, followed by those
// that arrived since. A malformed, ambiguous or too large request fails with
// the error to report to the caller. Use response_reader for responses.
class request_reader
{
public:
    explicit request_reader(const http_limits& limits,
                            const header_dialect& dialect = native_dialect());
    ~request_reader();
    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;

    // Prepares for the next request.
    void reset();

    // Reads from the front of the input and appends body bytes, without their
    // framing, to the body. Stops after the header, so that the body takes
    // another call, and at the end of the request.
    read_result read(std::string_view input, std::string& body);

    // The header; valid once read has returned in_body or complete.
    const request_head& head() const;
    request_head& head();

private:
    struct parser;
    http_limits limits_;
    const header_dialect& dialect_;
    std::unique_ptr<parser> parser_;
};

} // namespace anvilturn

#endif
