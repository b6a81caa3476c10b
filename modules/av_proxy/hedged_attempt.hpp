// Private to av_proxy.

#ifndef AV_PROXY_HEDGED_ATTEMPT_HPP
#define AV_PROXY_HEDGED_ATTEMPT_HPP

#include <av_core/error.hpp>
#include <av_core/milliseconds.hpp>
#include <av_http/response_head.hpp>
#include <av_limits/hedging.hpp>
#include <av_proxy/attempt_observer.hpp>
#include <av_proxy/caller_link.hpp>
#include <av_proxy/held_permit.hpp>
#include <av_proxy/target_connection.hpp>

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace anvilturn
{

struct hedge_candidate;
struct permit_answer;
class proxied_call;
class worker;

// What a call needs to continue with its hedge as its only attempt.
struct hedge_state
{
    std::shared_ptr<target_connection> connection_;
    std::shared_ptr<target_state> target_;
    int slots_ = 0;
    std::optional<held_permit> account_permit_;
    milliseconds started_at_{0.0};
    // Load and slowdown of the target known at the start.
    int load_at_start_ = 0;
    double slowdown_at_start_ = 1.0;
    bool connecting_ = false;
    bool bytes_sent_ = false;
    // The response so far; no header if none has arrived.
    std::optional<response_head> head_;
    std::string body_;
};

// The second attempt of a call, beside the one that runs, of which there is at
// most one in a call. It buffers its response until the call continues with it
// as its only attempt: once the response is complete or fills the buffer, or
// the first attempt has failed.
class hedged_attempt : public attempt_observer
{
public:
    hedged_attempt(worker& owner, caller_link& link, proxied_call& call);
    ~hedged_attempt() override;
    hedged_attempt(const hedged_attempt&) = delete;
    hedged_attempt& operator=(const hedged_attempt&) = delete;

    // The call was sent to its target. Decides from time to time whether it is
    // hedged, until it can't be any more.
    void watch();

    // Ends the watch or the attempt. The target may have run the call if bytes
    // were sent to it.
    void cancel();

    // The call has ended; cancel was called.
    void reset();

    bool is_running() const;

    // Bytes of the response that are buffered.
    std::size_t buffered_bytes() const;

    // Moves the running attempt to the caller, which continues it.
    hedge_state hand_over();

private:
    // attempt_observer
    void on_connected() override;
    void on_bytes_sent() override;
    void on_output_drained() override;
    void on_response_head(const response_head& head) override;
    void on_response_body(std::string_view bytes) override;
    void on_input_processed() override;
    void on_response_complete(bool reusable) override;
    void on_attempt_failed(error_kind kind) override;

    void check_later(milliseconds at);
    void check();
    hedge_input current_input(milliseconds now) const;
    bool needs_permit() const;
    void request_permit();
    void on_permit(const permit_answer& answer);
    void count_suppressed();
    void query_load(const hedge_candidate& candidate);
    void start(const hedge_candidate& candidate, milliseconds now);
    void limit_connect_time();
    bool may_send_now();
    void win(bool complete);
    void fail(error_kind kind, bool refused);
    void release(bool refused);
    void log_end(error_kind kind, bool refused) const;
    void log_start(const hedge_candidate& candidate) const;

    worker& worker_;
    caller_link& link_;
    proxied_call& call_;
    boost::asio::steady_timer timer_;
    // Counts the watches and attempts, since a timer or a response to a request
    // for a permit may belong to an earlier one.
    std::uint64_t generation_ = 0;
    // Whether the call was hedged, so that it is not hedged again.
    bool used_ = false;
    bool suppressed_ = false;
    int queries_left_ = 0;
    hedge_state state_;
};

} // namespace anvilturn

#endif
