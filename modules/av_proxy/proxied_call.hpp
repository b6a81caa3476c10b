// Private to av_proxy.

#ifndef AV_PROXY_PROXIED_CALL_HPP
#define AV_PROXY_PROXIED_CALL_HPP

#include <av_call/call_life.hpp>
#include <av_core/error.hpp>
#include <av_core/milliseconds.hpp>
#include <av_http/request_head.hpp>
#include <av_limits/call_queue.hpp>
#include <av_limits/patience.hpp>
#include <av_model/call_outcome.hpp>
#include <av_proxy/attempt_observer.hpp>
#include <av_proxy/caller_link.hpp>
#include <av_proxy/routing_table.hpp>
#include <av_proxy/target_connection.hpp>
#include <av_routing/target_census.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilturn
{

class worker;
struct service_lane;

// Largest number of attempts of one call, including those that were refused.
constexpr int most_attempts_in_all = 8;

// One call on a caller's connection: finds its service, waits for a target,
// makes attempts and relays the response. A connection reuses one object for
// its calls one after the other.
class proxied_call : public attempt_observer
{
public:
    proxied_call(worker& owner, caller_link& link);
    ~proxied_call() override;
    proxied_call(const proxied_call&) = delete;
    proxied_call& operator=(const proxied_call&) = delete;

    // Starts a call whose request header was read. The header must stay valid
    // until the call has ended.
    void begin(const request_head& head, bool came_from_vm, bool complete);

    // Refuses a request that could not be read.
    void reject(error_kind kind);

    // Buffer to which request body bytes are appended; on_request_body
    // announces them.
    std::string& body();
    bool wants_body() const;
    void on_request_body(bool complete);

    void on_caller_gone();
    // All output was sent to the caller.
    void on_caller_drained();

    // Point in time at which on_due is to be called.
    milliseconds due() const;
    void on_due();

    bool is_active() const;

    // Whether the call awaits the configuration (rules and targets) of this VM.
    bool is_held() const;
    // Checks the configuration again, and continues the pending call if it is
    // there.
    void resume();

    // Used by the worker's queue. dispatch_to expects that a slot of the target
    // was acquired.
    void dispatch_to(const target_entry& target);
    void refuse(error_kind kind);
    bool is_excluded(const target_state* state) const;
    const service_entry& service() const;
    // Stores the summary of the targets when none was found for the call, for
    // logs.
    void note_targets(const target_census& census);
    // Looks the service up in the newest routing table; false if it was
    // removed.
    bool refresh_service();
    traffic_class priority() const;
    milliseconds deadline() const;
    // Starts the wait for a target. Returns the point in time at which the call
    // stops waiting; usual_time is the typical time of calls of the service at
    // a target.
    milliseconds begin_wait(milliseconds usual_time);
    // Time left until the call misses its latency objective, or its deadline if
    // it has none.
    milliseconds objective_left(milliseconds now) const;
    // Fraction of the wait limit that has passed, 0 to 1.
    double patience_spent(milliseconds now) const;
    const std::optional<queue_ticket>& ticket() const;
    void set_ticket(std::optional<queue_ticket> value);

private:
    // attempt_observer
    void on_connected() override;
    void on_bytes_left() override;
    void on_output_drained() override;
    void on_answer_head(const answer_head& head) override;
    void on_answer_body(std::string_view bytes) override;
    void on_input_processed() override;
    void on_answer_complete(bool reusable) override;
    void on_attempt_lost(error_kind kind) override;

    void reset();
    void name_call();
    void begin_service();
    bool hold();
    std::optional<error_kind> find_service();
    bool awaits_start() const;
    wait_facts wait_terms() const;
    bool answer_own_path();
    void answer_ready_check();
    void seek_target();
    bool goes_home() const;
    void start_attempt(const target_entry& target, bool to_vm);
    void send_body();
    void observe_answer(const answer_head& head);
    void observe_end();
    bool is_refusal(const answer_head& head);
    bool take_vm_answer(const answer_head& head);
    bool may_try_elsewhere() const;
    bool take_failure(const answer_head& head);
    void relay_head(const answer_head& head);
    std::string& answer_output();
    void release_answer();
    void end_attempt(error_kind kind, bool refused);
    bool target_has_room() const;
    void leave_connection(error_kind kind, bool refused);
    void retry(bool free_of_charge);
    void break_off(error_kind kind);
    void release_target();
    void respond(error_kind kind);
    void count(error_kind kind);
    void count_answered();
    void record_time(call_outcome outcome) const;
    milliseconds retry_after(error_kind reason) const;
    void trace_attempt() const;
    void trace_loss(error_kind kind, bool refused) const;
    void trace_end(std::string_view outcome, std::string_view reason) const;
    void finish(bool keep_alive);

    worker& worker_;
    caller_link& link_;
    call_life life_;
    const request_head* head_ = nullptr;
    std::string call_id_;
    bool active_ = false;
    bool came_from_vm_ = false;
    bool is_head_request_ = false;
    bool held_ = false;

    std::shared_ptr<const routing_table> table_;
    const service_entry* service_ = nullptr;
    const rule_spec* rule_ = nullptr;
    traffic_class class_ = traffic_class::interactive;
    service_lane* lane_ = nullptr;
    std::optional<queue_ticket> ticket_;

    milliseconds started_at_;
    milliseconds deadline_;
    // When the call began to wait for a target, and until when it waits.
    milliseconds wait_began_at_;
    milliseconds give_up_at_;
    milliseconds objective_;
    milliseconds spent_before_;
    milliseconds usual_time_;
    bool idempotent_ = false;
    int most_attempts_ = 0;
    milliseconds connect_due_;

    // The buffered part of the request's body, and how many bytes of it were
    // passed to the connection of this attempt.
    std::string body_;
    std::size_t body_given_ = 0;
    bool body_dropped_ = false;
    bool request_complete_ = false;
    // How the request body is framed in this attempt.
    body_framing body_framing_ = body_framing::none;

    std::shared_ptr<target_connection> connection_;
    std::shared_ptr<target_state> target_;
    int target_slots_ = 0;
    bool to_vm_ = false;
    bool home_tried_ = false;
    bool connecting_ = false;
    bool answer_chunked_ = false;
    bool keep_alive_ = true;
    bool answer_failed_ = false;
    // The response so far, while none of it was sent to the caller. If it is
    // cut off meanwhile, the call can be retried at another target.
    std::string held_answer_;
    bool holds_answer_ = false;
    // Why the previous attempt ended.
    std::optional<error_kind> last_failure_;
    // Whether its target refused it though it reported room.
    bool was_shed_ = false;
    std::optional<target_census> census_;
    milliseconds attempt_started_at_;
    // Load and slowdown of the target known at the start of the attempt.
    int load_at_start_ = 0;
    double slowdown_at_start_ = 1.0;
    int attempts_ = 0;
    // Attempts that the target may have executed.
    int runs_ = 0;
    std::vector<const target_state*> excluded_;
    // Outcome that another VM set in its response; empty for a response of a
    // target.
    std::string vm_outcome_;
    std::string vm_reason_;
};

} // namespace anvilturn

#endif
