#ifndef AV_HTTP_READ_RESULT_HPP
#define AV_HTTP_READ_RESULT_HPP

#include <av_core/error.hpp>

#include <cstddef>

namespace anvilturn
{

// How far the reading of one message has come.
enum class read_state
{
    // The header has not arrived whole.
    in_header,
    // The header was read, the body goes on.
    in_body,
    // The message ended at its own boundary.
    complete,
    // The message must be refused; no more of it is read.
    failed
};

// How the end of a body is marked.
enum class body_framing
{
    none,
    length,
    chunked,
    // An answer's body that ends when the target closes the connection.
    until_close
};

// What one step of reading did.
struct read_result
{
    // Bytes that were taken from the front of the input.
    std::size_t consumed_ = 0;
    read_state state_ = read_state::in_header;
    // Why the message is refused; holds when failed.
    error_kind error_ = error_kind::request_malformed;
};

} // namespace anvilturn

#endif
