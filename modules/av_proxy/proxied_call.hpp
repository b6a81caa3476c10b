// Private to av_proxy.

#ifndef AV_PROXY_PROXIED_CALL_HPP
#define AV_PROXY_PROXIED_CALL_HPP

#include <av_call/call_lifecycle.hpp>
#include <av_core/error.hpp>
#include <av_core/milliseconds.hpp>
#include <av_http/message_writer.hpp>
#include <av_http/request_head.hpp>
#include <av_limits/call_queue.hpp>
#include <av_limits/hedging.hpp>
#include <av_limits/work_estimate.hpp>
#include <av_model/call_outcome.hpp>
#include <av_proxy/attempt_observer.hpp>
#include <av_proxy/caller_link.hpp>
#include <av_proxy/held_permit.hpp>
#include <av_proxy/region_limit.hpp>
#include <av_proxy/routing_table.hpp>
#include <av_proxy/target_connection.hpp>
#include <av_routing/target_summary.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilturn
{

class hedged_attempt;
struct permit_answer;
class worker;
struct worker_service_state;

// Maximum number of attempts of one call, including those that were refused but
// not those that were withdrawn because a permit had expired.
constexpr int max_total_attempts = 8;

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
    // until the call has ended. The deadline counts from the arrival.
    void begin(const request_head& head,
               bool came_from_vm,
               bool complete,
               milliseconds arrived_at);

    // Refuses a request that could not be read.
    void reject(error_kind kind);

    // Buffer to which request body bytes are appended; on_request_body
    // announces them.
    std::string& body();
    bool wants_body() const;
    // Bytes of the request body and of the response that are buffered.
    std::size_t buffered_bytes() const;
    void on_request_body(bool complete);

    void on_caller_disconnected();
    // All output was sent to the caller.
    void on_caller_output_drained();

    // Point in time at which on_timeout is to be called.
    milliseconds due() const;
    // Moves the deadline to the given point in time if it is later.
    void limit_deadline(milliseconds latest);
    void on_timeout();

    bool is_active() const;

    // Whether the call awaits the configuration (rules and targets) of this VM.
    bool awaits_configuration() const;
    // Checks the configuration again, and continues the pending call if it is
    // there.
    void resume();

    // Used by the worker's queue. dispatch_to expects that a slot of the target
    // was acquired.
    void dispatch_to(const target_entry& target);
    void refuse(error_kind kind);
    // Says when room for the call is expected, before it is refused.
    void set_expected_wait(milliseconds value);
    bool is_excluded(const target_state* state) const;
    const service_entry& service() const;
    // The account on whose behalf the call is made; null if there is none.
    const account_spec* account() const;
    // The regions in which the call may run.
    const region_limit& regions() const;
    // Stores the summary of the targets when none was found for the call, for
    // logs.
    void set_target_summary(const target_summary& summary);
    // Looks the service up in the newest routing table; false if it was
    // removed.
    bool refresh_service();
    traffic_class priority() const;
    milliseconds deadline() const;
    // Time that the call is expected to take at a target that is not slowed.
    milliseconds work_time() const;
    // Starts the wait for a target. Returns the point in time at which the call
    // stops waiting.
    milliseconds begin_wait();
    // Time for which the call has waited for a target; call begin_wait first.
    milliseconds waited(milliseconds now) const;
    const std::optional<queue_ticket>& ticket() const;
    void set_ticket(std::optional<queue_ticket> value);

private:
    friend class hedged_attempt;

    // attempt_observer
    void on_connected() override;
    void on_bytes_sent() override;
    void on_output_drained() override;
    void on_response_head(const response_head& head) override;
    void on_response_body(std::string_view bytes) override;
    void on_input_processed() override;
    void on_response_complete(bool reusable) override;
    void on_attempt_failed(error_kind kind) override;

    void reset(milliseconds arrived_at);
    void assign_call_id();
    bool prepare_call();
    bool await_configuration();
    std::optional<error_kind> find_service();
    std::optional<error_kind> find_account();
    bool lacks_configuration() const;
    bool answer_local_path();
    void answer_readiness_check();
    void route_call();
    bool is_too_late_for_stop() const;
    bool should_forward() const;
    bool has_account_permit();
    void request_account_permit();
    bool awaits_permit(std::uint64_t request) const;
    void on_account_permit(const permit_answer& answer);
    void take_cold_permit(const target_entry& target);
    bool may_call(const target_state& target) const;
    bool may_send_now();
    void spend_permits();
    void release_attempt_permits(bool refused);
    void return_permit(std::optional<held_permit>& permit);
    void start_attempt(const target_entry& target, bool to_vm);
    request_additions additions_for(const target_state& target,
                                    milliseconds now) const;
    void send_body();
    void watch_for_hedge();
    hedge_input hedge_facts() const;
    void cancel_hedge();
    bool is_failed_hedged_response(int status) const;
    bool continue_with_hedge(error_kind kind, bool refused);
    void switch_to_hedge(error_kind kind, bool refused, bool complete);
    void record_response_head(target_state& target, const response_head& head);
    void record_completion();
    bool handle_refusal(const response_head& head);
    bool handle_vm_response(const response_head& head);
    bool may_retry_elsewhere() const;
    bool handle_failure(const response_head& head);
    void relay_response_head(const response_head& head);
    std::string& response_output();
    void flush_buffered_response();
    bool keeps_connection() const;
    bool has_attempts_left() const;
    void withdraw_attempt();
    void end_attempt(error_kind kind, bool refused);
    bool target_has_room() const;
    void release_connection(error_kind kind, bool refused);
    void retry(bool budget_exempt);
    void abort_connection(error_kind kind);
    void release_target();
    void respond(error_kind kind);
    void count(error_kind kind);
    void count_answered();
    void record_outcome(call_outcome outcome) const;
    milliseconds retry_after(error_kind reason) const;
    void log_attempt_start() const;
    void log_attempt_end(std::string_view reason, bool refused) const;
    void log_call_end(std::string_view outcome, std::string_view reason) const;
    void finish(bool keep_alive);

    worker& worker_;
    caller_link& link_;
    call_lifecycle lifecycle_;
    const request_head* head_ = nullptr;
    std::string call_id_;
    bool active_ = false;
    bool came_from_vm_ = false;
    bool is_head_request_ = false;
    bool awaits_configuration_ = false;

    std::shared_ptr<const routing_table> table_;
    const service_entry* service_ = nullptr;
    const rule_spec* rule_ = nullptr;
    // The accounts of the release in force when the call began, which a call
    // keeps, and its own; null if there are none.
    std::shared_ptr<const release_accounts> accounts_;
    const account_spec* account_ = nullptr;
    std::optional<held_permit> account_permit_;
    // Of the target of this attempt, if that is cold.
    std::optional<held_permit> target_permit_;
    bool awaits_permit_ = false;
    // Counts the requests of all calls of the connection, since the response to
    // one of an earlier call may arrive during a later one.
    std::uint64_t permit_requests_ = 0;
    // Null unless calls are hedged.
    std::unique_ptr<hedged_attempt> hedge_;
    traffic_class class_ = traffic_class::interactive;
    worker_service_state* worker_state_ = nullptr;
    std::optional<queue_ticket> ticket_;

    milliseconds started_at_;
    milliseconds deadline_;
    // When the call began to wait for a target.
    milliseconds wait_began_at_;
    // How long the calls of the rule take.
    std::shared_ptr<work_estimate> work_;
    // For logs only.
    milliseconds latency_objective_;
    bool idempotent_ = false;
    int max_attempts_ = 0;
    milliseconds connect_due_;

    // The buffered part of the request's body, and how many bytes of it were
    // passed to the connection of this attempt.
    std::string body_;
    std::size_t body_sent_ = 0;
    bool body_dropped_ = false;
    bool request_complete_ = false;
    // How the request body is framed in this attempt.
    body_framing body_framing_ = body_framing::none;

    std::shared_ptr<target_connection> connection_;
    std::shared_ptr<target_state> target_;
    int target_slots_ = 0;
    bool to_vm_ = false;
    bool forward_tried_ = false;
    bool connecting_ = false;
    bool response_chunked_ = false;
    bool keep_alive_ = true;
    bool response_failed_ = false;
    // The response so far, while none of it was sent to the caller. If it is
    // cut off meanwhile, the call can be retried at another target.
    std::string buffered_response_;
    bool buffers_response_ = false;
    // Why the previous attempt ended.
    std::optional<error_kind> last_failure_;
    // Whether the target of the previous attempt refused it although its newest
    // load report showed room.
    bool refused_with_room_ = false;
    std::optional<target_summary> target_summary_;
    region_limit regions_;
    // When room for the refused call is expected, if that is known.
    std::optional<milliseconds> expected_wait_;
    milliseconds attempt_started_at_;
    // Load and slowdown of the target known at the start of the attempt.
    int load_at_start_ = 0;
    double slowdown_at_start_ = 1.0;
    int attempts_ = 0;
    // Attempts of which nothing was sent for want of a permit.
    int withdrawn_attempts_ = 0;
    // Attempts of this call that may have run.
    int possible_runs_ = 0;
    std::vector<const target_state*> excluded_;
    // Outcome that another VM set in its response; empty for a response of a
    // target.
    std::string vm_outcome_;
    std::string vm_reason_;
};

} // namespace anvilturn

#endif
