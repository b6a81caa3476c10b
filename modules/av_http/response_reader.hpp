#ifndef AV_HTTP_RESPONSE_READER_HPP
#define AV_HTTP_RESPONSE_READER_HPP

#include <av_http/header_dialect.hpp>
#include <av_http/http_limits.hpp>
#include <av_http/read_result.hpp>
#include <av_http/response_head.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace anvilturn
{

// Reads successive responses from the bytes of a connection to a target. It
// buffers no input: pass the bytes that it did not consume again, followed by
// those that arrived since. A response with a body but without Content-Length
// or chunked encoding fails unless the dialect allows it; then call finish when
// the connection ends. Use request_reader for requests.
class response_reader
{
public:
    explicit response_reader(const http_limits& limits,
                             const header_dialect& dialect = native_dialect());
    ~response_reader();
    response_reader(const response_reader&) = delete;
    response_reader& operator=(const response_reader&) = delete;

    // Prepares for the next response. A response to HEAD has no body, whatever
    // its header says.
    void reset(bool responds_to_head_request);

    // Reads from the front of the input and appends body bytes, without their
    // framing, to the body. Skips interim responses (1xx). Stops after the
    // header and at the end of the response.
    read_result read(std::string_view input, std::string& body);

    // Call it when the target closes the connection in order (not by a reset).
    // Returns whether this completes the response.
    bool finish();

    // The header; valid once read has returned in_body or complete.
    const response_head& head() const;

private:
    struct parser;

    void reset_parser();

    http_limits limits_;
    const header_dialect& dialect_;
    bool responds_to_head_request_ = false;
    // Since the last reset.
    int interim_responses_ = 0;
    std::unique_ptr<parser> parser_;
};

} // namespace anvilturn

#endif
