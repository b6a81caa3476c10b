#ifndef AV_GRANTS_GRANT_MESSAGES_HPP
#define AV_GRANTS_GRANT_MESSAGES_HPP

#include <av_core/milliseconds.hpp>
#include <av_quota/permit_ledger.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace anvilturn
{

// A query has at most this many requests; a VM sends more in further queries.
constexpr std::size_t max_requests_per_query = 256;
// Limits with longer names are not asked for.
constexpr std::size_t max_limit_name_bytes = 256;
// Longer messages are refused. A query of the most requests, each with a name
// of the greatest length, needs less.
constexpr std::size_t max_grant_message_bytes = 128 * 1024;
// A VM does not ask for more permits of a limit at once.
constexpr int max_permits_per_request = 100'000;
// A reply with a longer lease or time is refused.
constexpr milliseconds max_grant_time{3'600'000.0};

// Requests for permits of several limits. The kind of a key may be one that
// this version does not define; such a key is an unknown limit.
struct permit_query
{
    std::uint64_t id_ = 0;
    std::vector<permit_request> requests_;
};

// The response to one request of a query.
struct permit_reply_entry
{
    // Whether the grantor knows the limit; if not, there is no grant.
    bool known_ = false;
    permit_grant grant_;
};

// The response to a query, with one entry for each request, in the same order.
struct permit_reply
{
    std::uint64_t id_ = 0;
    std::vector<permit_reply_entry> entries_;
};

} // namespace anvilturn

#endif
