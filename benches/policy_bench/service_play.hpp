#ifndef POLICY_BENCH_SERVICE_PLAY_HPP
#define POLICY_BENCH_SERVICE_PLAY_HPP

#include "dispatcher.hpp"
#include "event_queue.hpp"
#include "service_run.hpp"
#include "target_model.hpp"

#include <av_model/fleet_view.hpp>

#include <algorithm>
#include <deque>
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
    answer_back,
    hedge_due,
    stall_starts,
    stall_ends,
    probe_due,
    share_due,
    homes_share_due,
    wake_up,
    check_stragglers,
    home_dies,
    home_replaced
};

struct event
{
    event_kind kind_ = event_kind::wake_up;
    // Number of a call, stall, VM or dispatcher, by kind.
    int subject_ = 0;
};

enum class call_fate
{
    good,
    failed,
    refused
};

// One attempt under way, of a caller or of a probe.
struct live_call
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
    call_fate fate_ = call_fate::good;
    // The other attempt of a hedged call; negative if there is none.
    int twin_ = -1;
    bool is_cancelled_ = false;
    bool is_answered_ = false;
    load_report report_;
};

// One run: the machines, the events to come and what was counted so far.
class service_play
{
public:
    service_play(const bench_settings& settings,
                 const scheme& way,
                 const workload& work)
        : settings_(settings)
        , way_(way)
        , work_(work)
        , domains_(settings.deployment_.domains_)
    {
        const auto* policy =
            choice_policy_registry::instance().find(way.policy_);
        for (int t = 0; t < work.service_.targets_; ++t)
        {
            targets_.emplace_back(work.service_.slots_);
        }
        for (int vm = 0; vm < settings.deployment_.vms_; ++vm)
        {
            dispatchers_.emplace_back(
                *policy,
                facts_for(vm),
                static_cast<std::size_t>(settings.queue_limit_),
                settings.seed_ * 7919U + static_cast<std::uint64_t>(vm));
        }
        last_share_ms_.assign(dispatchers_.size(), 0.0);
        assign_homes();
    }

    run_result play();

private:
    int domain_of_target(int target) const;

    int domain_of_vm(int vm) const;

    double delay_ms(int domain_a, int domain_b) const;

    double hop_ms(int vm_a, int vm_b) const;

    std::vector<target_properties> facts_for(int vm) const;

    int limit_of_one_vm() const;

    bool in_subset(int vm, int target) const;

    void assign_homes();

    int dispatcher_for(int vm) const;

    void add_event(double time_ms, event_kind kind, int subject = 0)
    {
        events_.add(time_ms, event{kind, subject});
    }

    void plan_events();

    void plan_events_of_vms();

    // Each VM probes one target after the other.
    double probe_gap_ms() const;

    void handle(const event& next);

    bool is_over() const;

    void repeat(double gap_ms, event_kind kind, int subject = 0)
    {
        if (!is_over() || kind == event_kind::wake_up)
        {
            add_event(now_ms_ + gap_ms, kind, subject);
        }
    }

    int new_call();

    live_call& call(int number);

    dispatcher& dispatcher_of(const live_call& each);

    target_record& record_of(const live_call& each);

    bool counts(const live_call& each) const;

    void on_call_arrives(int plan_number);

    void on_call_at_dispatcher(int number);

    void refuse(int number);

    void drain(int vm);

    void send(int number, int target);

    hedge_input question_for(const live_call& here);

    void plan_hedge(int number);

    void on_hedge_due(int number);

    // The first answer counts; the other attempt is cancelled, which its
    // target learns at once.
    void cancel_twin(const live_call& here);

    // The bound: sees the targets as they are, starts calls without delay, and
    // adds the way to the target and back to the time that the call took.
    void drain_central();

    int find_open_target() const;

    void on_call_at_target(int number);

    double slowness(int target) const;

    void start_calls(int target_number);

    void on_call_ends(int number);

    void send_answer(int number, double after_ms);

    void on_answer_back(int number);

    void learn(const live_call& here);

    void count_answer(const live_call& here);

    void on_stall_starts(int stall_number);

    void on_probe_due(int vm);

    // The VM tells its domain what it learned since it did so last.
    void on_share_due(int vm);

    void share(std::size_t from, std::size_t to);

    // Each home tells the others what it knows of its own domain's targets.
    void on_homes_share_due();

    void share_own_targets(int from, int to);

    // Reports age and ejections end, so that a queue is looked at again also
    // without an answer.
    void on_wake_up();

    void on_check_stragglers();

    void on_home_dies();

    const bench_settings& settings_;
    const scheme& way_;
    const workload& work_;
    int domains_;
    double now_ms_ = 0.0;
    int dead_vm_ = -1;
    int next_probe_target_ = 0;
    std::vector<target_model> targets_;
    std::deque<dispatcher> dispatchers_;
    std::vector<double> last_share_ms_;
    // By failure domain.
    std::vector<int> homes_;
    std::deque<live_call> calls_;
    event_queue<event> events_;
    run_result result_;
};

} // namespace policy_bench

#endif
