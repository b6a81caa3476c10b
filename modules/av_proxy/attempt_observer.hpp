// Private to av_proxy.

#ifndef AV_PROXY_ATTEMPT_OBSERVER_HPP
#define AV_PROXY_ATTEMPT_OBSERVER_HPP

#include <av_core/error.hpp>
#include <av_http/answer_head.hpp>

#include <string_view>

namespace anvilturn
{

// Who is told how an attempt at a target goes on. Any of these calls may end
// the attempt; the connection then tells nothing further of it.
class attempt_observer
{
public:
    virtual ~attempt_observer() = default;

    // A connection stands, and nothing was sent yet.
    virtual void on_connected() = 0;
    // The first bytes of the attempt were handed to the network.
    virtual void on_bytes_sent() = 0;
    // All output was handed to the network.
    virtual void on_output_drained() = 0;
    virtual void on_response_head(const answer_head& head) = 0;
    virtual void on_response_body(std::string_view bytes) = 0;
    // What has arrived so far was passed on, and the answer goes on.
    virtual void on_input_processed() = 0;
    // The answer ended at its own boundary. The connection may serve another
    // attempt only if reusable.
    virtual void on_response_complete(bool reusable) = 0;
    // The attempt ended without a whole answer.
    virtual void on_attempt_failed(error_kind kind) = 0;
};

} // namespace anvilturn

#endif
