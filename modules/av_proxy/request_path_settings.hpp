#ifndef AV_PROXY_REQUEST_PATH_SETTINGS_HPP
#define AV_PROXY_REQUEST_PATH_SETTINGS_HPP

#include <av_core/comparison.hpp>
#include <av_core/milliseconds.hpp>
#include <av_http/header_dialect.hpp>
#include <av_http/http_limits.hpp>

#include <cstddef>
#include <string>
#include <tuple>

namespace anvilturn
{

// What the request path of one VM is started with.
struct request_path_settings
{
    std::string vm_name_;
    // Calls that another deployment's VM forwards are refused.
    std::string deployment_;
    // IP number and port where callers call. Port 0 draws a free one.
    std::string callers_address_;
    // IP number and port where other VMs forward calls to. Empty for none.
    std::string forward_address_;
    std::size_t threads_ = 2;
    http_limits limits_;
    // Names of the header fields; no part of the comparison.
    header_dialect dialect_;
    // Connections of callers and VMs that one thread keeps open.
    std::size_t connections_per_thread_ = 8192;
    // Body bytes that a call holds before it is dispatched; a request of at
    // most this size can be sent again.
    std::size_t buffered_body_bytes_ = 64 * 1024;
    // Bytes of an answer that are held until it is whole, so that one which
    // breaks off can be had from another target; zero passes all on at once.
    std::size_t buffered_response_bytes_ = 0;
    // Bytes that wait for a slow receiver before the sender is paused.
    std::size_t relay_buffer_bytes_ = 64 * 1024;
    // A request's header, and each further part of its body, must arrive
    // within this time.
    milliseconds request_timeout_{10000.0};
    // A connection without a call is closed after this time.
    milliseconds idle_timeout_{60000.0};
    milliseconds connect_timeout_{1000.0};

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
                        request_timeout_,
                        idle_timeout_,
                        connect_timeout_);
    }
};

} // namespace anvilturn

#endif
