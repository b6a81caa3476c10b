#ifndef AV_REPLICATION_UPDATE_CODEC_HPP
#define AV_REPLICATION_UPDATE_CODEC_HPP

#include <av_model/service_spec.hpp>
#include <av_replication/registry_update.hpp>

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace anvilturn
{

// Length of the number that precedes each message.
constexpr std::size_t frame_header_bytes = 4;
// Longer messages are refused.
constexpr std::size_t max_frame_bytes = 16 * 1024 * 1024;

// Return the message with its length before it.
std::string write_subscription(const replication_position& position);
std::string write_update(const registry_update& update);

// Return the length that a frame's header announces.
std::size_t frame_length(std::string_view header);

// Read a message without its length; peer_malformed if it is none. The
// defaults hold for each service, since every VM has them from its settings.
absl::StatusOr<replication_position> read_subscription(std::string_view bytes);
absl::StatusOr<registry_update> read_update(std::string_view bytes,
                                            const service_spec& defaults);

} // namespace anvilturn

#endif
