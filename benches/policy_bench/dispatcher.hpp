#ifndef POLICY_BENCH_DISPATCHER_HPP
#define POLICY_BENCH_DISPATCHER_HPP

#include <av_limits/call_queue.hpp>
#include <av_limits/drain_rate.hpp>
#include <av_limits/latency_quantile.hpp>
#include <av_limits/retry_budget.hpp>
#include <av_limits/start_schedule.hpp>
#include <av_routing/choice_policy.hpp>
#include <av_routing/random_bits.hpp>
#include <av_routing/target_record.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

// One VM that chooses targets for a service. Holds the VM's call queue, target
// records and choice policy, and decides with the code of the proxy (av_routing
// and av_limits).
class dispatcher
{
public:
    dispatcher(const anvilturn::choice_policy& policy,
               std::vector<anvilturn::target_properties> properties,
               std::size_t queue_limit,
               std::uint64_t seed)
        : queue_(queue_limit)
        , records_(properties.size())
        , policy_(&policy)
        , properties_(std::move(properties))
        , random_(seed)
    {
    }

    // Chooses a target for the next call; nullopt if the call should stay
    // queued. The target numbered excluded is not chosen; negative for none.
    std::optional<std::size_t> choose(double now_ms, int excluded = -1)
    {
        const anvilturn::milliseconds now(now_ms);
        views_.clear();
        for (std::size_t i = 0; i < records_.size(); ++i)
        {
            views_.push_back(view_of(records_[i], properties_[i], now));
        }
        apply_ejections(views_, records_, now);
        if (excluded >= 0)
        {
            views_[static_cast<std::size_t>(excluded)].eligible_ = false;
        }
        random_ = anvilturn::mix_bits(random_);
        return policy_->choose_({views_, random_, sequence_++, queue_.size()});
    }

    // Returns the latest start of a call with the deadline.
    anvilturn::milliseconds latest_start(double deadline_ms) const
    {
        return anvilturn::latest_start(anvilturn::milliseconds(deadline_ms),
                                       p95_.value_);
    }

    // Returns whether a call that arrives now can start in time.
    bool has_place_for(anvilturn::traffic_class call_class,
                       anvilturn::milliseconds latest_start,
                       double now_ms) const
    {
        const anvilturn::milliseconds now(now_ms);
        const auto& rate = rates_[static_cast<std::size_t>(call_class)];
        return anvilturn::has_place_for(latest_start,
                                        queue_.latest_starts(call_class),
                                        {now, mean_interval(rate)});
    }

    // Adds a call to the queue; see call_queue::push.
    void enqueue(int call,
                 anvilturn::traffic_class call_class,
                 anvilturn::milliseconds latest_start,
                 double now_ms)
    {
        if (queue_.size(call_class) == 0)
        {
            auto& rate = rates_[static_cast<std::size_t>(call_class)];
            rate = at_first_wait(rate, anvilturn::milliseconds(now_ms));
        }
        queue_.push(call, call_class, latest_start);
    }

    // Records that the call, which was removed from the queue, is sent to a
    // target.
    void record_start(anvilturn::traffic_class call_class, double now_ms)
    {
        auto& rate = rates_[static_cast<std::size_t>(call_class)];
        rate = after_dequeue(
            rate, queue_.size(call_class), anvilturn::milliseconds(now_ms));
    }

    // Numbers of the calls that wait for a target.
    anvilturn::call_queue<int> queue_;
    std::vector<anvilturn::target_record> records_;
    anvilturn::latency_quantile p95_;
    anvilturn::retry_budget retry_budget_;

private:
    std::array<anvilturn::drain_rate, anvilturn::traffic_class_count> rates_;
    const anvilturn::choice_policy* policy_;
    std::vector<anvilturn::target_properties> properties_;
    std::vector<anvilturn::target_view> views_;
    std::uint64_t random_;
    std::uint64_t sequence_ = 0;
};

#endif
