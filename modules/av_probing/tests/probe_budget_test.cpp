// Checks the probe budget of a whole fleet as a property. VMs whose clocks
// differ in rate and offset claim leases through a store that delays requests,
// loses responses and returns stale reads. Meanwhile VMs freeze, are replaced
// or are partitioned from the store, and the store becomes unavailable.

#include <av_probing/probe_lease_state.hpp>
#include <av_probing/probe_permission.hpp>
#include <av_routing/random_bits.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <string>
#include <vector>

using namespace anvilturn;

namespace
{

constexpr double step_ms = 25.0;
constexpr double simulation_ms = 150000.0;
constexpr std::size_t vm_count = 3;
// The model covers one target of one shard.
constexpr std::size_t shard = 1;

enum class fault
{
    // The VM does nothing for a while; its clock continues.
    freeze,
    // No request of the VM reaches the store.
    partitioned,
    // A new VM of the same name starts while the old one still runs.
    replace,
    // The store responds to no VM.
    store_unavailable,
    // The VM relinquishes its leases and stops; a new one starts.
    graceful_stop
};

struct fault_event
{
    fault kind_ = fault::freeze;
    double start_ms_ = 0.0;
    double length_ms_ = 0.0;
    std::size_t vm_ = 0;
};

rc::Gen<fault_event> any_fault()
{
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, 5),
                       rc::gen::inRange(0, static_cast<int>(simulation_ms)),
                       rc::gen::inRange(100, 30000),
                       rc::gen::inRange<std::size_t>(0, vm_count)),
        [](const auto& values)
        {
            fault_event result;
            result.kind_ = static_cast<fault>(std::get<0>(values));
            result.start_ms_ = std::get<1>(values);
            result.length_ms_ = std::get<2>(values);
            result.vm_ = std::get<3>(values);
            return result;
        });
}

struct request
{
    bool is_write_ = false;
    probe_lease_table table_;
    std::uint64_t expected_ = 0;
    double effect_ms_ = 0.0;
    double response_ms_ = 0.0;
    bool response_lost_ = false;
    // Set once the store has processed the request or the request was lost.
    bool is_processed_ = false;
    bool accepted_ = false;
    std::uint64_t version_ = 0;
};

struct model_vm
{
    lease_holder self_;
    double clock_rate_ = 1.0;
    double clock_offset_ = 0.0;
    probe_lease_state lease_state_;
    std::optional<milliseconds> last_sent_;
    std::optional<request> request_;
    bool has_read_ = false;
    bool is_stopping_ = false;
    double next_read_ms_ = 0.0;
    double frozen_until_ms_ = 0.0;
    double partitioned_until_ms_ = 0.0;

    milliseconds clock(double true_ms) const
    {
        return milliseconds(clock_offset_ + true_ms * clock_rate_);
    }
};

class fleet_model
{
public:
    // An unreliable store delays some requests for seconds and loses responses.
    fleet_model(std::uint64_t seed,
                std::vector<fault_event> faults,
                double probes_per_second,
                bool unreliable_store)
        : random_state_(seed)
        , probes_per_second_(probes_per_second)
        , anomaly_probability_(unreliable_store ? 0.1 : 0.0)
        , faults_(std::move(faults))
    {
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            add_vm("vm-" + std::to_string(i));
        }
    }

    // Returns the times at which probes reached the target, sorted.
    std::vector<double> simulate()
    {
        for (now_ms_ = 0.0; now_ms_ < simulation_ms; now_ms_ += step_ms)
        {
            start_faults();
            // By index, since a fault may add a VM.
            for (std::size_t i = 0; i < vms_.size(); ++i)
            {
                apply_request(vms_[i]);
                if (now_ms_ >= vms_[i].frozen_until_ms_)
                {
                    run(vms_[i]);
                }
            }
        }
        std::sort(arrivals_.begin(), arrivals_.end());
        return arrivals_;
    }

private:
    double random_between(double low, double high)
    {
        random_state_ = mix_bits(random_state_);
        return low + (high - low) * unit_interval(random_state_);
    }

    bool happens(double probability)
    {
        return random_between(0.0, 1.0) < probability;
    }

    void add_vm(const std::string& name)
    {
        model_vm vm;
        vm.self_ = {name, ++last_incarnation_};
        vm.clock_rate_ = random_between(0.99, 1.01);
        vm.clock_offset_ = random_between(0.0, 1e6);
        vms_.push_back(vm);
    }

    void start_faults()
    {
        for (const auto& event : faults_)
        {
            const bool starts = event.start_ms_ >= now_ms_ &&
                                event.start_ms_ < now_ms_ + step_ms;
            if (starts)
            {
                start(event);
            }
        }
    }

    void start(const fault_event& event)
    {
        auto& vm = vms_[event.vm_];
        const double until = now_ms_ + event.length_ms_;
        switch (event.kind_)
        {
        case fault::freeze:
            vm.frozen_until_ms_ = until;
            break;
        case fault::partitioned:
            vm.partitioned_until_ms_ = until;
            break;
        case fault::replace:
            add_vm(vm.self_.name_);
            break;
        case fault::store_unavailable:
            store_unavailable_until_ms_ = until;
            break;
        case fault::graceful_stop:
            vm.lease_state_ = after_leases_dropped(vm.lease_state_);
            vm.is_stopping_ = true;
            add_vm(vm.self_.name_);
            break;
        }
    }

    // The store's side of a request.
    void apply_request(model_vm& vm)
    {
        if (!vm.request_ || vm.request_->is_processed_ ||
            now_ms_ < vm.request_->effect_ms_)
        {
            return;
        }
        auto& request = *vm.request_;
        request.is_processed_ = true;
        if (now_ms_ < store_unavailable_until_ms_ ||
            now_ms_ < vm.partitioned_until_ms_)
        {
            request.response_lost_ = true;
            return;
        }
        if (request.is_write_)
        {
            request.accepted_ = request.expected_ == history_.size();
            if (request.accepted_)
            {
                history_.push_back(request.table_);
            }
            request.version_ = history_.size();
            return;
        }
        // A stale read returns one of the newest few versions.
        const auto lag = static_cast<std::uint64_t>(random_between(0.0, 2.5));
        request.version_ =
            history_.size() - std::min<std::uint64_t>(lag, history_.size());
        request.table_ = request.version_ == 0 ? probe_lease_table{}
                                               : history_[request.version_ - 1];
    }

    void run(model_vm& vm)
    {
        probe_if_allowed(vm);
        if (vm.request_)
        {
            finish_request(vm);
            return;
        }
        const auto next_table = table_to_write(vm);
        if (next_table && vm.has_read_ && now_ms_ < vm.next_read_ms_)
        {
            send_write(vm, *next_table);
        }
        else if (now_ms_ >= vm.next_read_ms_)
        {
            send(vm, request{});
        }
    }

    std::optional<probe_lease_table> table_to_write(const model_vm& vm) const
    {
        if (vm.is_stopping_)
        {
            return relinquished_lease_table(vm.lease_state_, vm.self_);
        }
        const std::vector<bool> candidate(probe_shard_count, true);
        return lease_table_to_write(
            vm.lease_state_, vm.self_, candidate, vm.clock(now_ms_));
    }

    void send_write(model_vm& vm, const probe_lease_table& table)
    {
        request next;
        next.is_write_ = true;
        next.table_ = table;
        next.expected_ = vm.lease_state_.version_;
        vm.lease_state_ =
            after_write_sent(vm.lease_state_, table, vm.clock(now_ms_));
        send(vm, next);
    }

    void send(model_vm& vm, request next)
    {
        next.effect_ms_ =
            now_ms_ +
            random_between(0.0, happens(anomaly_probability_) ? 6000.0 : 50.0);
        next.response_ms_ =
            next.effect_ms_ +
            random_between(0.0, happens(anomaly_probability_) ? 6000.0 : 50.0);
        next.response_lost_ = happens(anomaly_probability_);
        vm.request_ = next;
    }

    // The VM's side of a request: the response, or its loss. A write whose
    // response was lost may still take effect; apply_request has processed it
    // by then at the latest.
    void finish_request(model_vm& vm)
    {
        const auto request = *vm.request_;
        if (!request.is_processed_ || now_ms_ < request.response_ms_)
        {
            return;
        }
        const auto now = vm.clock(now_ms_);
        vm.request_.reset();
        vm.next_read_ms_ = request.is_write_ && request.accepted_
                               ? now_ms_ + 2000.0
                               : now_ms_ + 300.0;
        if (request.response_lost_)
        {
            vm.next_read_ms_ = now_ms_;
        }
        else if (!request.is_write_)
        {
            vm.has_read_ = true;
            vm.lease_state_ = after_leases_read(vm.lease_state_,
                                                vm.self_,
                                                request.version_,
                                                request.table_,
                                                now);
        }
        else if (request.accepted_)
        {
            vm.lease_state_ = after_write_accepted(
                vm.lease_state_, vm.self_, request.version_, now);
        }
        else
        {
            vm.lease_state_ = after_write_refused(vm.lease_state_);
            vm.next_read_ms_ = now_ms_;
        }
    }

    void probe_if_allowed(model_vm& vm)
    {
        const auto now = vm.clock(now_ms_);
        const probe_check_input input{shard, vm.last_sent_, probes_per_second_};
        if (may_probe_now(vm.lease_state_, input, now))
        {
            vm.last_sent_ = now;
            const double transit =
                random_between(0.0, probe_transit_limit.count());
            arrivals_.push_back(now_ms_ + transit);
        }
    }

    std::uint64_t random_state_;
    double probes_per_second_;
    // Probability of a long delay and of a lost response.
    double anomaly_probability_;
    std::vector<fault_event> faults_;
    double now_ms_ = 0.0;
    double store_unavailable_until_ms_ = 0.0;
    std::uint64_t last_incarnation_ = 0;
    // Version n of the object is at index n - 1.
    std::vector<probe_lease_table> history_;
    std::deque<model_vm> vms_;
    std::vector<double> arrivals_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(probe_budget)

// "At most rate * window + 1 in every window" is violated exactly if two
// arrivals are closer than the interval of the rate.
RC_BOOST_PROP(probes_stay_within_the_budget_in_every_window,
              (std::uint64_t seed))
{
    const auto faults =
        *rc::gen::container<std::vector<fault_event>>(any_fault());
    const double rate = *rc::gen::element(0.3, 1.0, 4.0);
    const auto arrivals = fleet_model(seed, faults, rate, true).simulate();
    for (std::size_t i = 1; i < arrivals.size(); ++i)
    {
        const double gap_ms = arrivals[i] - arrivals[i - 1];
        RC_ASSERT(gap_ms * rate >= 1000.0);
    }
}

// Without faults and with a reliable store, most of the budget is used.
RC_BOOST_PROP(a_fleet_without_faults_uses_most_of_the_budget,
              (std::uint64_t seed))
{
    const auto arrivals = fleet_model(seed, {}, 2.0, false).simulate();
    const double budget = simulation_ms / 1000.0 * 2.0;
    RC_ASSERT(static_cast<double>(arrivals.size()) > 0.8 * budget);
}

// After a fault of any kind some VM sends probes again.
RC_BOOST_PROP(probing_resumes_after_a_fault, (std::uint64_t seed))
{
    auto fault = *any_fault();
    fault.start_ms_ = 60000.0;
    const auto arrivals = fleet_model(seed, {fault}, 2.0, true).simulate();
    RC_ASSERT(!arrivals.empty());
    RC_ASSERT(arrivals.back() > simulation_ms - 20000.0);
}

BOOST_AUTO_TEST_SUITE_END()
