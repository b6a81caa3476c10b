// Private to av_proxy.

#ifndef AV_PROXY_ATTEMPT_OBSERVER_HPP
#define AV_PROXY_ATTEMPT_OBSERVER_HPP

#include <av_core/error.hpp>
#include <av_http/response_head.hpp>

#include <string_view>

namespace anvilturn
{

// Receives the events of one attempt at a target. Any of these calls may end
// the attempt; the connection then reports no further events of it.
class attempt_observer
{
public:
    virtual ~attempt_observer() = default;

    // The connection is established, and nothing was sent yet.
    virtual void on_connected() = 0;
    // The first bytes of the attempt were written to the socket.
    virtual void on_bytes_sent() = 0;
    // All output was written to the socket.
    virtual void on_output_drained() = 0;
    virtual void on_response_head(const response_head& head) = 0;
    virtual void on_response_body(std::string_view bytes) = 0;
    // All input received so far was delivered, and the response continues.
    virtual void on_input_processed() = 0;
    // The response is complete by its own framing. The connection may serve
    // another attempt only if reusable.
    virtual void on_response_complete(bool reusable) = 0;
    // The attempt ended without a complete response.
    virtual void on_attempt_failed(error_kind kind) = 0;
};

} // namespace anvilturn

#endif
