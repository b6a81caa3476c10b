#ifndef POLICY_BENCH_SERVICE_SIMULATION_HPP
#define POLICY_BENCH_SERVICE_SIMULATION_HPP

#include "dispatcher.hpp"
#include "event_queue.hpp"
#include "service_run.hpp"
#include "target_model.hpp"

#include <av_model/fleet_view.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace policy_bench
{

using namespace anvilturn;

constexpr double ms_per_second = 1000.0;

enum class event_kind
{
    call_arrives,
    call_at_dispatcher,
    call_at_target,
    call_ends,
    response_arrives,
    hedge_due,
    stall_starts,
    stall_ends,
    probe_due,
    share_due,
    dispatcher_share_due,
    recheck_queues,
    check_stragglers,
    dispatcher_vm_fails,
    dispatcher_vm_replaced
};

struct event
{
    event_kind kind_ = event_kind::recheck_queues;
    // Number of a call, planned call, stall, target or VM, depending on the
    // kind.
    int subject_ = 0;
};

enum class call_outcome
{
    succeeded,
    failed,
    refused
};

// One attempt of a call, or one probe.
struct call_attempt
{
    int vm_ = 0;
    int dispatcher_ = 0;
    int target_ = -1;
    double arrival_ms_ = 0.0;
    double sent_ms_ = 0.0;
    double service_ms_ = 0.0;
    double end_ms_ = 0.0;
    traffic_class class_ = traffic_class::interactive;
    bool is_probe_ = false;
    call_outcome outcome_ = call_outcome::succeeded;
    // Number of the other attempt of a hedged call; negative if there is none.
    int other_attempt_ = -1;
    bool is_cancelled_ = false;
    bool is_answered_ = false;
    load_report report_;
};

// Number of the target that the fault of a scenario affects.
constexpr int target_with_fault = 1;

// Simulates one run of one service: holds the VMs and targets, the pending
// events and the counts so far.
class service_simulation
{
public:
    service_simulation(const bench_settings& settings,
                       const scheme& chosen_scheme,
                       const workload& service_workload)
        : settings_(settings)
        , scheme_(chosen_scheme)
        , workload_(service_workload)
        , domains_(settings.deployment_.domains_)
    {
        const auto* policy =
            choice_policy_registry::instance().find(chosen_scheme.policy_);
        for (int t = 0; t < service_workload.service_.targets_; ++t)
        {
            targets_.emplace_back(service_workload.service_.slots_);
        }
        for (int vm = 0; vm < settings.deployment_.vms_; ++vm)
        {
            dispatchers_.emplace_back(
                *policy,
                target_properties_for(vm),
                static_cast<std::size_t>(settings.queue_limit_),
                settings.seed_ * 7919U + static_cast<std::uint64_t>(vm));
        }
        last_share_ms_.assign(dispatchers_.size(), 0.0);
        assign_dispatcher_vms();
    }

    // Runs the simulation to its end and returns the result. Call it once.
    run_result simulate();

private:
    int domain_of_target(int target) const;

    int domain_of_vm(int vm) const;

    double delay_ms(int domain_a, int domain_b) const;

    double hop_ms(int vm_a, int vm_b) const;

    std::vector<target_properties> target_properties_for(int vm) const;

    int in_flight_limit_per_vm() const;

    bool in_subset(int vm, int target) const;

    void assign_dispatcher_vms();

    int dispatcher_for(int vm) const;

    void add_event(double time_ms, event_kind kind, int subject = 0)
    {
        events_.add(time_ms, event{kind, subject});
    }

    void schedule_events();

    void schedule_vm_events();

    // Interval between two probes of one VM. The VMs together probe the targets
    // in turn.
    double probe_interval_ms() const;

    void handle(const event& next);

    bool is_past_end() const;

    void schedule_again(double interval_ms, event_kind kind, int subject = 0)
    {
        if (!is_past_end() || kind == event_kind::recheck_queues)
        {
            add_event(now_ms_ + interval_ms, kind, subject);
        }
    }

    int new_call();

    call_attempt& call(int call_number);

    dispatcher& dispatcher_of(const call_attempt& current_attempt);

    target_record& record_of(const call_attempt& current_attempt);

    bool is_counted(const call_attempt& current_attempt) const;

    void on_call_arrives(int planned_index);

    void on_call_at_dispatcher(int call_number);

    void refuse(int call_number);

    void refuse_late_calls(dispatcher& current_dispatcher);
    // Removes the next call from the queue, which must not be empty, and
    // returns its number.
    int start_next(dispatcher& current_dispatcher);
    void dispatch_queue(int vm);

    void send(int call_number, int target);

    // Returns how long to wait before a second attempt; nothing if too little
    // time is known or left.
    std::optional<milliseconds>
    hedge_delay(const call_attempt& current_attempt);

    void schedule_hedge(int call_number);

    void on_hedge_due(int call_number);

    // Cancels the other attempt of a hedged call after the first response.
    // Modelled without delay: the target drops it at once.
    void cancel_other_attempt(const call_attempt& current_attempt);

    // Dispatches for the central queue: uses the targets' actual state and
    // starts calls without delay. The network delay to the target and back is
    // added to the response.
    void dispatch_central_queue();

    int find_available_target() const;

    void on_call_at_target(int call_number);

    double slowdown_factor(int target) const;

    void start_calls(int target_number);

    void on_call_ends(int call_number);

    void send_response(int call_number, double after_ms);

    void on_response_arrives(int call_number);

    void update_target_record(const call_attempt& current_attempt);

    void count_response(const call_attempt& current_attempt);

    void on_stall_starts(int stall_number);

    void on_probe_due(int vm);

    // Sends the VM's load reports that are newer than its last such message to
    // the other VMs of its failure domain.
    void on_share_due(int vm);

    void share_reports(std::size_t from, std::size_t to);

    // Each dispatcher VM sends the others its load estimates for the targets of
    // its local failure domain.
    void on_dispatcher_share_due();

    void share_local_targets(int from, int to);

    // Dispatches all queues periodically: load reports age and ejections end,
    // so a queued call may become dispatchable without a response arriving.
    void on_recheck_queues();

    void on_check_stragglers();

    void on_dispatcher_vm_fails();

    const bench_settings& settings_;
    const scheme& scheme_;
    const workload& workload_;
    int domains_;
    double now_ms_ = 0.0;
    int failed_vm_ = -1;
    int next_probe_target_ = 0;
    std::vector<target_model> targets_;
    std::deque<dispatcher> dispatchers_;
    std::vector<double> last_share_ms_;
    // Number of the dispatcher VM of each failure domain.
    std::vector<int> dispatcher_vms_;
    std::deque<call_attempt> calls_;
    event_queue<event> events_;
    run_result result_;
};

} // namespace policy_bench

#endif
