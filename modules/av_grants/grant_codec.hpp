#ifndef AV_GRANTS_GRANT_CODEC_HPP
#define AV_GRANTS_GRANT_CODEC_HPP

#include <av_grants/grant_messages.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace anvilturn
{

// Return the encoded message, preceded by its length.
std::string write_query(const permit_query& query);
std::string write_reply(const permit_reply& reply);

// Decode a message without the length before it; peer_malformed if it is not
// valid or a number in it is out of range.
absl::StatusOr<permit_query> read_query(std::string_view bytes);
absl::StatusOr<permit_reply> read_reply(std::string_view bytes);

} // namespace anvilturn

#endif
