#ifndef AV_CORE_HTTP_STATUS_HPP
#define AV_CORE_HTTP_STATUS_HPP

namespace anvilturn
{

// Returns whether a number is a status code (RFC 9110, section 15). A message
// with any other number is no response.
constexpr bool is_http_status(int number)
{
    constexpr int first = 100;
    constexpr int last = 599;
    return number >= first && number <= last;
}

} // namespace anvilturn

#endif
