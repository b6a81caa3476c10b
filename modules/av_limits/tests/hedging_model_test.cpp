// A model of calls at targets whose machines are slowed for a while, without a
// network and with a scripted clock. Prints what hedging changes at several
// loads.

#include <av_limits/hedging.hpp>
#include <av_limits/work_estimate.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <iostream>
#include <queue>
#include <random>
#include <utility>
#include <vector>

using namespace anvilturn;

namespace
{

constexpr int target_count = 60;
constexpr int slot_count = 4;
constexpr int vm_count = 24;
constexpr int call_count = 60000;
constexpr double mean_work_ms = 60.0;
// Spread of the logarithm of the calls' work.
constexpr double work_spread = 0.6;
constexpr double deadline_ms = 2000.0;
constexpr double slowdown = 5.0;
constexpr double slowed_for_ms = 1000.0;
constexpr double slowed_every_ms = 5000.0;
// A call takes longer the more others run at its target, and 1.7 times as long
// if it takes the last slot.
constexpr double busy_weight = 0.7;
constexpr double retry_ratio = 0.1;
constexpr double retry_burst = 1.5;
constexpr double check_interval_ms = 5.0;
constexpr double poll_interval_ms = 2.0;
// Targets that are asked for their load at a choice.
constexpr int asked_targets = 2;

struct model_result
{
    double busy_ = 0.0;
    double p99_ = 0.0;
    double p999_ = 0.0;
    int hedges_ = 0;
    int won_ = 0;
    // Time at targets that gave no response, as a share of all.
    double extra_work_ = 0.0;
};

class hedging_model
{
public:
    hedging_model(double calls_per_ms, double hedge_ratio, int calls)
        : ratio_(hedge_ratio)
        , random_(20261207)
        , calls_(static_cast<std::size_t>(calls))
        , targets_(target_count)
        , vms_(vm_count)
    {
        double at = 0.0;
        std::exponential_distribution<double> gap(calls_per_ms);
        std::lognormal_distribution<double> work(
            std::log(mean_work_ms) - work_spread * work_spread / 2.0,
            work_spread);
        for (auto& call : calls_)
        {
            at += gap(random_);
            call.arrived_ = at;
            call.work_ = work(random_);
            call.vm_ = static_cast<int>(random_() % vm_count);
            call.idempotent_ = random_() % 2 == 0;
        }
        slow_down_targets(at * 2.0);
    }

    model_result run()
    {
        for (std::size_t index = 0; index < calls_.size(); ++index)
        {
            at(calls_[index].arrived_,
               [this, index]
               {
                   arrive(index);
               });
        }
        while (!events_.empty())
        {
            const auto next = events_.top();
            events_.pop();
            now_ = next.at_;
            next.run_();
        }
        return summarize();
    }

private:
    struct span
    {
        double from_;
        double to_;
    };

    struct model_target
    {
        std::vector<span> slowed_;
        int load_ = 0;
    };

    struct model_vm
    {
        retry_budget retries_;
        hedge_budget hedges_;
        int waiting_ = 0;
    };

    struct attempt
    {
        int target_ = -1;
        double started_ = 0.0;
    };

    struct model_call
    {
        double arrived_ = 0.0;
        double work_ = 0.0;
        int vm_ = 0;
        bool idempotent_ = false;
        attempt first_;
        attempt second_;
        double slowdown_at_start_ = 1.0;
        double ended_ = -1.0;
    };

    struct event
    {
        double at_;
        std::uint64_t number_;
        std::function<void()> run_;

        bool operator<(const event& other) const
        {
            return at_ != other.at_ ? at_ > other.at_ : number_ > other.number_;
        }
    };

    void at(double time, std::function<void()> run)
    {
        events_.push({time, ++event_number_, std::move(run)});
    }

    // Slows down a third of the targets at a time.
    void slow_down_targets(double until)
    {
        for (double from = slowed_every_ms; from < until;
             from += slowed_every_ms)
        {
            for (auto& target : targets_)
            {
                if (random_() % 3 == 0)
                {
                    target.slowed_.push_back({from, from + slowed_for_ms});
                }
            }
        }
    }

    double slowdown_of(int target) const
    {
        const auto& spans = targets_[static_cast<std::size_t>(target)].slowed_;
        const bool is_slowed =
            std::any_of(spans.begin(),
                        spans.end(),
                        [this](const span& value)
                        {
                            return value.from_ <= now_ && now_ < value.to_;
                        });
        return is_slowed ? slowdown : 1.0;
    }

    // Returns when the work ends that begins at the target now.
    double end_of(int target, double work) const
    {
        double time = now_;
        for (const auto& value :
             targets_[static_cast<std::size_t>(target)].slowed_)
        {
            if (value.to_ <= time)
            {
                continue;
            }
            const double before = std::max(0.0, value.from_ - time);
            if (work <= before)
            {
                break;
            }
            work -= before;
            time = std::max(time, value.from_);
            const double done = (value.to_ - time) / slowdown;
            if (work <= done)
            {
                return time + work * slowdown;
            }
            work -= done;
            time = value.to_;
        }
        return time + work;
    }

    model_target& target_at(int index)
    {
        return targets_[static_cast<std::size_t>(index)];
    }

    // Returns the best of a few targets with room; -1 if none has.
    int choose(int excluded)
    {
        int best = -1;
        double best_cost = 0.0;
        for (int asked = 0; asked < asked_targets; ++asked)
        {
            const int index = static_cast<int>(random_() % target_count);
            const int load = target_at(index).load_;
            const double cost = slowdown_of(index) * (1.0 + 0.3 * load);
            if (index != excluded && load < slot_count &&
                (best < 0 || cost < best_cost))
            {
                best = index;
                best_cost = cost;
            }
        }
        return best;
    }

    void arrive(std::size_t index)
    {
        auto& vm = vms_[static_cast<std::size_t>(calls_[index].vm_)];
        vm.retries_ =
            after_first_attempt(vm.retries_, retry_ratio, 0, retry_burst);
        vm.hedges_ = after_call_begun(vm.hedges_, ratio_);
        waiting_.push_back(index);
        ++vm.waiting_;
        dispatch_waiting();
    }

    void dispatch_waiting()
    {
        while (!waiting_.empty())
        {
            const int chosen = choose(-1);
            if (chosen < 0)
            {
                poll_later();
                return;
            }
            const auto index = waiting_.front();
            waiting_.pop_front();
            --vms_[static_cast<std::size_t>(calls_[index].vm_)].waiting_;
            begin(index, chosen);
        }
    }

    void poll_later()
    {
        if (std::exchange(poll_scheduled_, true))
        {
            return;
        }
        at(now_ + poll_interval_ms,
           [this]
           {
               poll_scheduled_ = false;
               dispatch_waiting();
           });
    }

    void begin(std::size_t index, int target)
    {
        auto& call = calls_[index];
        call.slowdown_at_start_ = slowdown_of(target);
        send(index, call.first_, target);
        if (ratio_ <= 0.0)
        {
            return;
        }
        if (const auto first = first_hedge_check(input_of(call, {})))
        {
            at(first->count(),
               [this, index]
               {
                   check(index);
               });
        }
    }

    void send(std::size_t index, attempt& where, int target)
    {
        auto& state = target_at(target);
        where = {target, now_};
        const double factor =
            1.0 + busy_weight * state.load_ / (slot_count - 1);
        ++state.load_;
        at(end_of(target, calls_[index].work_ * factor),
           [this, index, target]
           {
               end(index, target);
           });
    }

    hedge_input input_of(const model_call& call,
                         std::optional<hedge_target> better) const
    {
        const auto& vm = vms_[static_cast<std::size_t>(call.vm_)];
        hedge_input input;
        input.idempotent_ = call.idempotent_;
        input.replayable_ = true;
        input.max_attempts_ = 2;
        input.slowdown_at_start_ = call.slowdown_at_start_;
        input.started_at_ = milliseconds(call.first_.started_);
        input.deadline_ = milliseconds(call.arrived_ + deadline_ms);
        input.work_time_ = expected_work_time(estimate_, milliseconds(now_));
        input.waiting_calls_ = vm.waiting_;
        input.better_ = better;
        input.retries_ = vm.retries_;
        input.retry_burst_ = retry_burst;
        input.hedges_ = vm.hedges_;
        return input;
    }

    void check(std::size_t index)
    {
        auto& call = calls_[index];
        if (call.ended_ >= 0.0)
        {
            return;
        }
        const int found = choose(call.first_.target_);
        std::optional<hedge_target> better;
        if (found >= 0)
        {
            better = hedge_target{target_at(found).load_,
                                  slot_count,
                                  slowdown_of(found),
                                  milliseconds(1.0)};
        }
        const auto action =
            decide_hedge(input_of(call, better), milliseconds(now_));
        if (action == hedge_action::send)
        {
            auto& vm = vms_[static_cast<std::size_t>(call.vm_)];
            vm.hedges_ = after_hedge(vm.hedges_);
            vm.retries_ = after_extra_attempt(vm.retries_);
            ++hedges_;
            send(index, call.second_, found);
        }
        else if (action != hedge_action::never)
        {
            at(now_ + check_interval_ms,
               [this, index]
               {
                   check(index);
               });
        }
    }

    void end(std::size_t index, int target)
    {
        auto& call = calls_[index];
        if (call.ended_ >= 0.0)
        {
            return;
        }
        call.ended_ = now_;
        if (target == call.first_.target_)
        {
            estimate_ = after_run(estimate_,
                                  call.slowdown_at_start_,
                                  milliseconds(now_ - call.first_.started_),
                                  milliseconds(now_));
        }
        const bool second_won = target == call.second_.target_;
        won_ += second_won ? 1 : 0;
        for (const auto* part : {&call.first_, &call.second_})
        {
            if (part->target_ >= 0)
            {
                const double time = now_ - part->started_;
                work_ += time;
                lost_work_ += part->target_ == target ? 0.0 : time;
                free_slot(part->target_);
            }
        }
    }

    void free_slot(int target)
    {
        --target_at(target).load_;
        dispatch_waiting();
    }

    model_result summarize() const
    {
        std::vector<double> times;
        for (const auto& call : calls_)
        {
            if (call.idempotent_)
            {
                times.push_back(call.ended_ - call.arrived_);
            }
        }
        std::sort(times.begin(), times.end());
        const auto quantile = [&times](double share)
        {
            return times[static_cast<std::size_t>(
                share * static_cast<double>(times.size() - 1))];
        };
        model_result result;
        result.busy_ =
            work_ / (calls_.back().arrived_ * target_count * slot_count);
        result.p99_ = quantile(0.99);
        result.p999_ = quantile(0.999);
        result.hedges_ = hedges_;
        result.won_ = won_;
        result.extra_work_ = lost_work_ / work_;
        return result;
    }

    const double ratio_;
    std::mt19937_64 random_;
    std::vector<model_call> calls_;
    std::vector<model_target> targets_;
    std::vector<model_vm> vms_;
    std::deque<std::size_t> waiting_;
    work_estimate estimate_;
    std::priority_queue<event> events_;
    std::uint64_t event_number_ = 0;
    bool poll_scheduled_ = false;
    double now_ = 0.0;
    double work_ = 0.0;
    double lost_work_ = 0.0;
    int hedges_ = 0;
    int won_ = 0;
};

// Returns the rate of calls at which the share of slots is busy without hedges.
double rate_for(double busy)
{
    double low = 0.0;
    double high = target_count * slot_count / mean_work_ms;
    for (int step = 0; step < 12; ++step)
    {
        const double middle = (low + high) / 2.0;
        const auto result = hedging_model(middle, 0.0, call_count / 4).run();
        (result.busy_ < busy ? low : high) = middle;
    }
    return low;
}

void print(const char* name, const model_result& result)
{
    std::cout << "  " << name << ": p99 " << result.p99_ << " ms, p99.9 "
              << result.p999_ << " ms, busy " << 100.0 * result.busy_
              << " %, hedges " << 100.0 * result.hedges_ / call_count
              << " % of calls, won " << result.won_ << " of " << result.hedges_
              << ", extra work " << 100.0 * result.extra_work_ << " %\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(hedging_model_suite)

// A third of the targets is slowed for a second. Guards against hedges that
// don't help, against those that make calls slower by the slots that they take,
// and against more of them than the ratio allows.
BOOST_AUTO_TEST_CASE(hedges_help_at_half_load_and_harm_none_at_high_load)
{
    constexpr double ratio = 0.05;
    for (const double busy : {0.5, 0.8, 0.95})
    {
        const double rate = rate_for(busy);
        const auto without = hedging_model(rate, 0.0, call_count).run();
        const auto with = hedging_model(rate, ratio, call_count).run();
        std::cout << "idempotent calls, " << 100.0 * busy << " % busy\n";
        print("without hedges", without);
        print("with hedges   ", with);
        const double allowed = busy <= 0.5 ? 0.9 : 1.02;
        BOOST_TEST(without.hedges_ == 0);
        BOOST_TEST(with.hedges_ <= ratio * call_count + vm_count);
        BOOST_TEST(with.extra_work_ <= 0.02);
        BOOST_TEST(with.p99_ <= without.p99_ * allowed);
        BOOST_TEST(with.p999_ <= without.p999_ * allowed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
