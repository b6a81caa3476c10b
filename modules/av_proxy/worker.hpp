// Private to av_proxy.

#ifndef AV_PROXY_WORKER_HPP
#define AV_PROXY_WORKER_HPP

#include <av_core/snapshot_cell.hpp>
#include <av_grants/permit_client.hpp>
#include <av_limits/call_queue.hpp>
#include <av_limits/drain_rate.hpp>
#include <av_limits/hedging.hpp>
#include <av_limits/load_profile.hpp>
#include <av_limits/retry_budget.hpp>
#include <av_limits/start_schedule.hpp>
#include <av_limits/work_estimate.hpp>
#include <av_proxy/load_query_sender.hpp>
#include <av_proxy/path_core.hpp>
#include <av_proxy/routing_table.hpp>
#include <av_proxy/target_connection.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/random/mersenne_twister.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace anvilturn
{

class caller_connection;
class proxied_call;

constexpr std::size_t scratch_bytes = 64 * 1024;
// Fraction of the idle timeout of a target within which its idle connections
// are reused.
constexpr double target_idle_limit_factor = 0.7;

// One worker's state of one service: its queue of waiting calls, and the retry
// budget and statistics of its calls.
struct worker_service_state
{
    worker_service_state(std::shared_ptr<service_state> state,
                         std::size_t limit)
        : state_(std::move(state))
        , queue_(limit)
    {
    }

    // Returns the rate at which the calls of the class leave the queue.
    drain_rate& rate_of(traffic_class value)
    {
        return rates_[static_cast<std::size_t>(value)];
    }

    std::shared_ptr<service_state> state_;
    call_queue<std::shared_ptr<proxied_call>> queue_;
    retry_budget budget_;
    hedge_budget hedges_;
    std::array<drain_rate, traffic_class_count> rates_;
    // How long calls take at targets of each load.
    load_profile profile_;
    // Targets whose responses to load queries the waiting calls await, and
    // until when.
    std::vector<const target_state*> queried_targets_;
    milliseconds queried_until_;
    // No load query is sent before this point in time.
    milliseconds next_load_query_at_;
    // When a call was last sent to a target that was not slowed, or since when
    // calls have waited for one.
    milliseconds unslowed_awaited_since_;
    // Load queries that may still be sent; refilled by each call and each tick.
    double load_query_tokens_ = 0.0;
    // Whether a permit for a cold target is being requested.
    bool requests_cold_permit_ = false;
};

// A target to which a call may be hedged, and the number of calls that this VM
// may have in flight there.
struct hedge_candidate
{
    const target_entry* entry_ = nullptr;
    hedge_target seen_;
    int local_limit_ = 0;
};

// One thread of the request path with its connections and queues. All members
// are for this thread only, except where stated otherwise.
class worker
{
public:
    worker(path_core& core, std::size_t index);
    ~worker();
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    // Starts to listen; called before the thread runs. Returns the address with
    // its port, or settings_invalid.
    absl::StatusOr<std::string> listen(const std::string& address,
                                       bool for_vms);

    // Runs the event loop of the thread until the worker has finished or is
    // stopped.
    void run();

    // May be called from any thread.
    void stop_accepting();
    void begin_finish();

    // Returns when calls that still run are ended, because this VM stops; a
    // point that no call reaches unless it does.
    milliseconds calls_end_at() const;
    void stop_now();
    void post_dispatch_waiting(const std::shared_ptr<service_state>& service);

    path_core& core();
    path_counters& counters();
    boost::asio::io_context& context();

    // Returns the monotonic time; logs and records a pause of the thread since
    // the last call.
    milliseconds now();
    // Returns the time that now() returned last.
    milliseconds last_time() const;
    std::uint64_t random_bits();
    const std::shared_ptr<const routing_table>& table();
    std::size_t index() const;

    // Buffer for a single read; its contents are overwritten by the next one.
    std::array<char, scratch_bytes>& scratch();
    // See anvilturn::response_buffer_limit.
    std::size_t response_buffer_limit() const;
    std::string& body_buffer();

    void add(caller_connection& connection);
    void remove(caller_connection& connection);

    worker_service_state& worker_state_of(const service_entry& service);

    // Returns the service that serves the next call of the rule, according to
    // the split of the rule.
    const std::string& service_of(const rule_spec& rule);

    // Dispatches the call to a target that has room, or enqueues or refuses it.
    void dispatch_or_enqueue(proxied_call& call,
                             std::shared_ptr<proxied_call> shared);

    // Sends load queries for a call that will wait for a target soon, unless a
    // target can take it by what is known.
    void query_load_ahead(const proxied_call& call);

    // Removes the call from its queue, if it is queued.
    void withdraw(proxied_call& call, worker_service_state& worker_state);

    // Returns the target that the running call would best be hedged to; none if
    // there is no other one with room by what is known.
    hedge_candidate find_hedge_target(const proxied_call& call);

    // Sends a load query to the target, for a call that may be hedged to it.
    // Returns false if an earlier one has no response yet.
    bool query_load(const service_entry& service, const target_entry& target);

    // Keeps a call pending until this VM has its configuration (rules and
    // targets).
    void await_configuration(std::shared_ptr<proxied_call> call);

    // Point in time at which this worker was made; counts as the start of this
    // VM.
    milliseconds started_at() const;

    // A slot of a target became free: waiting calls of this thread are
    // dispatched first, then those of other threads.
    void on_slot_freed(const std::shared_ptr<service_state>& service);

    // Calls on_slot_freed from the event loop, for callers that are within the
    // events of a call.
    void post_slot_freed(const std::shared_ptr<service_state>& service);

    // Returns the estimate of how long calls of the rule take at a target,
    // which lasts as long as the rule or a call of it. Never null.
    std::shared_ptr<work_estimate> work_of(const rule_spec& rule);

    // A load query to a target of the service ended, with or without a
    // response.
    void on_load_query_ended(const std::string& service);

    // Returns the permits that this thread holds; null if there are no limits
    // for all VMs together.
    permit_client* permits();

    // Returns whether calls to cold targets of the service need a permit.
    bool limits_cold_targets(const service_entry& service) const;

    // Takes the permit that this thread holds for a cold target. Returns when
    // it expires; nothing if there is none.
    std::optional<milliseconds> take_cold_permit(const target_entry& target);

    // Returns an idle connection to the target, or a new one. Never null.
    std::shared_ptr<target_connection> connect(const target_entry& target);

private:
    enum class choice_result
    {
        chosen,
        wait,
        none
    };

    // A permit for one cold target.
    struct cold_permit
    {
        milliseconds expires_at_{0.0};
        // No grantor has one before this point in time.
        milliseconds refused_until_{0.0};
    };

    std::vector<worker_service_state*> worker_states();
    void apply_cold_permit(const target_entry& target, target_view& view);
    bool awaits_cold_permit(const service_entry& service,
                            const proxied_call& call);
    bool has_cold_target(const service_entry& service) const;
    void on_cold_permit(const std::string& service,
                        const std::string& target,
                        const permit_answer& answer);
    void drop_expired_cold_permits();
    bool has_idle_connection(const target_entry& target) const;
    std::size_t waiting_with(const service_entry& service,
                             const proxied_call* call) const;
    void check_stragglers();
    void close_idle_target_connections();
    void accept_pending(boost::asio::ip::tcp::acceptor& acceptor, bool for_vms);
    void accept_later(boost::asio::ip::tcp::acceptor& acceptor, bool for_vms);
    void accept(boost::asio::ip::tcp::acceptor& acceptor, bool for_vms);
    choice_result choose(const service_entry& service,
                         const proxied_call* call,
                         const target_entry*& chosen);
    int fill_views(const service_entry& service,
                   const proxied_call* call,
                   bool& refresh_pending);
    int concurrency_limit_for(const service_entry& service,
                              const target_entry& target);
    void enqueue(proxied_call& call,
                 worker_service_state& worker_state,
                 std::shared_ptr<proxied_call> shared);
    bool send_load_queries(const service_entry& service,
                           worker_service_state& worker_state,
                           const proxied_call& call);
    bool awaits_load_responses(worker_service_state& worker_state);
    choice_input input_for(const service_entry& service,
                           const proxied_call* call);
    static void refuse_for_load(proxied_call& call,
                                error_kind kind,
                                milliseconds expected_wait);
    start_schedule schedule_of(traffic_class value,
                               worker_service_state& worker_state) const;
    void dispatch_waiting(worker_service_state& worker_state);
    std::shared_ptr<proxied_call> pop(worker_service_state& worker_state);
    void refuse_expired(worker_service_state& worker_state);
    void refuse_too_late(worker_service_state& worker_state);
    bool dispatch_expired(proxied_call& call);
    void decrement_waiting(worker_service_state& worker_state);
    void wake_other_worker(const std::shared_ptr<service_state>& service);
    void schedule_waiting_poll(std::chrono::milliseconds interval);
    void schedule_pending_poll();
    void resume_pending();
    static void earn_load_query_tokens(worker_service_state& worker_state);
    void refill_load_query_tokens();
    void tick();
    void drop_removed_state();
    void drop_removed_target_pools();
    void drop_removed_rules();
    void refuse_waiting();
    void limit_deadlines();
    void close_idle_caller_connections();
    void close_all_connections();
    std::shared_ptr<target_pool> pool_of(const target_entry& target);

    path_core& core_;
    std::size_t index_;
    path_counters counters_;
    boost::asio::io_context context_;
    boost::asio::steady_timer tick_timer_;
    boost::asio::steady_timer poll_timer_;
    bool poll_scheduled_ = false;
    const milliseconds started_at_;
    boost::asio::steady_timer pending_timer_;
    boost::asio::ip::tcp::acceptor callers_acceptor_;
    boost::asio::ip::tcp::acceptor forward_acceptor_;
    snapshot_reader<routing_table> reader_;
    // The table for which state of removed targets and rules was last dropped.
    std::shared_ptr<const routing_table> cleaned_table_;
    boost::random::mt19937_64 random_;
    milliseconds cached_now_;
    std::array<char, scratch_bytes> scratch_{};
    std::string body_buffer_;
    std::vector<target_view> views_;
    absl::flat_hash_set<caller_connection*> connections_;
    // These own calls that keep connections alive, and a connection removes
    // itself from connections_ when it ends; so they are declared after
    // connections_ and destroyed before it.
    absl::flat_hash_map<std::string, std::unique_ptr<worker_service_state>>
        worker_states_;
    // Calls that await the configuration of this VM.
    std::vector<std::shared_ptr<proxied_call>> pending_calls_;
    absl::flat_hash_map<const target_state*, std::shared_ptr<target_pool>>
        pools_;
    // Number of calls of each rule that has a split, and the random offset at
    // which this VM starts in the split.
    absl::flat_hash_map<std::string, std::uint64_t> split_calls_;
    double split_phase_;
    // By name of the rule.
    absl::flat_hash_map<std::string, std::shared_ptr<work_estimate>> rule_work_;
    load_query_sender load_query_sender_;
    // By name of the target.
    absl::flat_hash_map<std::string, cold_permit> cold_permits_;
    std::unique_ptr<permit_client> permits_;
    bool finished_ = false;
    unsigned ticks_ = 0;
};

} // namespace anvilturn

#endif
