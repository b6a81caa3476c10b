#ifndef AV_HTTP_READ_RESULT_HPP
#define AV_HTTP_READ_RESULT_HPP

#include <av_core/error.hpp>

#include <cstddef>

namespace anvilturn
{

// Progress in reading one message.
enum class read_state
{
    // The header is incomplete.
    in_header,
    // The header is complete, the body is not.
    in_body,
    // The whole message was read; bytes after it were not consumed.
    complete,
    // The message must be refused; do not read on.
    failed
};

// How the end of a body is marked.
enum class body_framing
{
    none,
    length,
    chunked,
    // The body ends when the target closes the connection; responses only.
    until_close
};

// Result of one call of a reader.
struct read_result
{
    // Number of bytes consumed from the front of the input.
    std::size_t consumed_ = 0;
    read_state state_ = read_state::in_header;
    // Why the message is refused; valid if the state is failed.
    error_kind error_ = error_kind::request_malformed;
};

} // namespace anvilturn

#endif
