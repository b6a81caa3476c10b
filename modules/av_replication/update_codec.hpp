#ifndef AV_REPLICATION_UPDATE_CODEC_HPP
#define AV_REPLICATION_UPDATE_CODEC_HPP

#include <av_model/service_spec.hpp>
#include <av_net/message_frame.hpp>
#include <av_replication/registry_update.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace anvilturn
{

// Return the encoded message, preceded by its length.
std::string write_subscription(const replication_position& position);
std::string write_update(const registry_update& update);

// Decode a message without the length before it; peer_malformed if it is not
// valid. The defaults apply to each service and are not transmitted, since
// every VM has them from its settings.
absl::StatusOr<replication_position> read_subscription(std::string_view bytes);
absl::StatusOr<registry_update> read_update(std::string_view bytes,
                                            const service_spec& defaults);

} // namespace anvilturn

#endif
