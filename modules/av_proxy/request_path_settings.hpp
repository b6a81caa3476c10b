#ifndef AV_PROXY_REQUEST_PATH_SETTINGS_HPP
#define AV_PROXY_REQUEST_PATH_SETTINGS_HPP

#include <av_core/comparison.hpp>
#include <av_core/milliseconds.hpp>
#include <av_grants/permit_client.hpp>
#include <av_http/header_dialect.hpp>
#include <av_http/http_limits.hpp>
#include <av_quota/fleet_limit.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <tuple>

namespace anvilturn
{

// Start settings of the request path of one VM.
struct request_path_settings
{
    std::string vm_name_;
    // Calls forwarded by a VM of another deployment are refused.
    std::string deployment_;
    // IP address and port on which callers connect. Port 0 lets the system
    // assign a free one.
    std::string callers_address_;
    // IP address and port on which other VMs connect to forward calls. Empty
    // for none.
    std::string forward_address_;
    std::size_t threads_ = 2;
    http_limits limits_;
    // Names of the header fields; not part of the comparison.
    header_dialect dialect_;
    // Maximum number of open connections of callers and VMs per thread.
    std::size_t connections_per_thread_ = 8192;
    // Request body bytes that are buffered before a call is dispatched; only a
    // request whose body is at most this size can be sent again.
    std::size_t buffered_body_bytes_ = 64 * 1024;
    // Response bytes that are buffered until the response is complete, so that
    // a call whose response is cut off can be retried at another target; zero
    // relays everything at once.
    std::size_t buffered_response_bytes_ = 0;
    // Unsent bytes for a slow receiver above which the sender is paused.
    std::size_t relay_buffer_bytes_ = 64 * 1024;
    // Size that the response buffers of all calls have together before each
    // gets a smaller one. See response_buffer_limit.
    std::size_t relay_memory_bytes_ = std::size_t{8} * 1024 * 1024;
    // Time limit for a request's header, and for each further part of its body,
    // to arrive.
    milliseconds request_timeout_{10000.0};
    // A connection without a call is closed after this time.
    milliseconds idle_timeout_{60000.0};
    milliseconds connect_timeout_{1000.0};
    // Bounds of the limits that hold for all VMs together.
    limit_bounds limit_bounds_;
    // For the permit client of each thread; no grantors if there are no such
    // limits. Not part of the comparison.
    permit_client_options permits_;
    // Second sends (hedges) of idempotent calls, as a fraction of the calls of
    // a service; zero if calls are not hedged.
    double hedge_ratio_ = 0.0;
    // The region of each failure domain, for calls that are restricted to
    // regions. A failure domain that is missing belongs to none.
    std::map<std::string, std::string> regions_{};

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(vm_name_,
                        deployment_,
                        callers_address_,
                        forward_address_,
                        threads_,
                        limits_,
                        connections_per_thread_,
                        buffered_body_bytes_,
                        buffered_response_bytes_,
                        relay_buffer_bytes_,
                        relay_memory_bytes_,
                        request_timeout_,
                        idle_timeout_,
                        connect_timeout_,
                        limit_bounds_,
                        hedge_ratio_,
                        regions_);
    }
};

} // namespace anvilturn

#endif
