#ifndef AV_HTTP_HEADER_CHECK_HPP
#define AV_HTTP_HEADER_CHECK_HPP

#include <cstddef>
#include <string_view>

namespace anvilturn
{

// Returns whether a header, from its start line to the empty line, is free of
// syntax that recipients interpret in different ways: a line feed without its
// carriage return or the reverse, control characters, folded lines, white space
// before a colon, lines without a colon. It does not check the meaning of the
// fields.
bool is_strict_header(std::string_view header);

// Returns whether the bytes contain a line feed without a carriage return
// before it. An incomplete header with one can be refused at once, since
// is_strict_header will not accept it.
bool has_bare_line_feed(std::string_view bytes);

// Returns whether an HTTP request target may be matched against rules: it is in
// origin form and has no fragment, no backslash or encoded slash or backslash
// in the path, and no dot segment, literal or percent-encoded. A target could
// resolve such a path to that of another rule.
bool is_plain_request_target(std::string_view target);

// Returns whether a call id from a caller has 1 to 64 characters, all in
// [A-Za-z0-9._-].
bool is_call_id(std::string_view id);

} // namespace anvilturn

#endif
