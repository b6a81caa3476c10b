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

// Reads one answer after the other from the bytes of a connection to a
// target. It keeps no bytes: those that it did not consume are given again,
// with what arrived since. An answer whose end is not marked by a length or by
// chunks fails unless the dialect allows it; its end is told by finish.
class response_reader
{
public:
    explicit response_reader(const http_limits& limits,
                             const header_dialect& dialect = native_dialect());
    ~response_reader();
    response_reader(const response_reader&) = delete;
    response_reader& operator=(const response_reader&) = delete;

    // Prepares for the next answer. An answer to HEAD has no body, whatever
    // its header says.
    void reset(bool responds_to_head_request);

    // Reads from the front of the input and appends body bytes, without their
    // framing, to the body. Interim answers (1xx) are skipped. Stops after the
    // header and at the end of the answer.
    read_result read(std::string_view input, std::string& body);

    // Takes the orderly end of the connection. Returns whether it completes
    // the answer.
    bool finish();

    // The header; holds once read returned a state past in_header.
    const response_head& head() const;

private:
    struct parser;
    http_limits limits_;
    const header_dialect& dialect_;
    bool responds_to_head_request_ = false;
    std::unique_ptr<parser> parser_;
};

} // namespace anvilturn

#endif
