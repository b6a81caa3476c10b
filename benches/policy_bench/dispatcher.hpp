#ifndef POLICY_BENCH_DISPATCHER_HPP
#define POLICY_BENCH_DISPATCHER_HPP

#include <av_limits/admission.hpp>
#include <av_limits/call_queue.hpp>
#include <av_limits/hedging.hpp>
#include <av_limits/latency_quantile.hpp>
#include <av_limits/retry_budget.hpp>
#include <av_routing/choice_policy.hpp>
#include <av_routing/random_bits.hpp>
#include <av_routing/target_record.hpp>

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

    // Whether a call that arrives now can be answered before its deadline.
    bool can_meet_deadline(anvilturn::traffic_class call_class,
                           double time_left_ms) const
    {
        anvilturn::admission_input input;
        input.calls_ahead_ = queue_.size_ahead_of(call_class);
        input.time_left_ = anvilturn::milliseconds(time_left_ms);
        input.work_time_ = p95_.value_;
        return anvilturn::can_meet_deadline(drain_rate_, input);
    }

    // Removes the next call from the queue, to be sent to a target, and returns
    // its number. The queue must not be empty.
    int start_next(double now_ms)
    {
        const int call = *queue_.pop();
        drain_rate_ = after_dequeue(
            drain_rate_, queue_.size(), anvilturn::milliseconds(now_ms));
        return call;
    }

    // Numbers of the calls that wait for a target.
    anvilturn::call_queue<int> queue_;
    std::vector<anvilturn::target_record> records_;
    anvilturn::latency_quantile p95_;
    anvilturn::retry_budget retry_budget_;

private:
    anvilturn::drain_rate drain_rate_;
    const anvilturn::choice_policy* policy_;
    std::vector<anvilturn::target_properties> properties_;
    std::vector<anvilturn::target_view> views_;
    std::uint64_t random_;
    std::uint64_t sequence_ = 0;
};

#endif
