#ifndef AV_PROXY_REQUEST_PATH_BUILDER_HPP
#define AV_PROXY_REQUEST_PATH_BUILDER_HPP

#include <av_proxy/request_path.hpp>

#include <absl/status/statusor.h>

#include <memory>

namespace anvilturn
{

// Builds a request_path from settings, which build() checks.
class request_path_builder
{
public:
    request_path_builder& settings(const request_path_settings& value);

    // Called when a target is draining; none by default.
    request_path_builder& notice_listener(target_notice_listener value);

    // Records the latency of each call by its outcome; it must outlive the
    // request path and have room for its threads. None by default.
    request_path_builder& recorder(latency_recorder& value);

    // Fails with settings_invalid if a setting is out of range or an address is
    // not an IP address and port.
    absl::StatusOr<std::unique_ptr<request_path>> build() const;

private:
    request_path_settings settings_;
    target_notice_listener listener_;
    latency_recorder* recorder_ = nullptr;
};

} // namespace anvilturn

#endif
