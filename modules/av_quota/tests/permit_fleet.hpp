// VMs and grantors on a scripted clock, for the load tests of av_quota. A VM
// does what a client of grants does: it asks its preferred grantor, then the
// others, and refuses calls if all that it can reach refuse.

#ifndef AV_QUOTA_TESTS_PERMIT_FLEET_HPP
#define AV_QUOTA_TESTS_PERMIT_FLEET_HPP

#include <av_quota/av_quota.hpp>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace anvilturn
{

// Runs actions in the order of their time.
class scripted_clock
{
public:
    milliseconds now() const
    {
        return now_;
    }

    void run_at(milliseconds time, std::function<void()> action)
    {
        actions_.push({std::max(time, now_), next_++, std::move(action)});
    }

    void run_until(milliseconds end)
    {
        while (!actions_.empty() && actions_.top().time_ <= end)
        {
            const auto next = actions_.top();
            actions_.pop();
            now_ = next.time_;
            next.action_();
        }
        now_ = end;
    }

private:
    struct timed_action
    {
        milliseconds time_;
        std::size_t order_ = 0;
        std::function<void()> action_;

        friend bool operator<(const timed_action& a, const timed_action& b)
        {
            return a.time_ != b.time_ ? a.time_ > b.time_ : a.order_ > b.order_;
        }
    };

    milliseconds now_{0.0};
    std::size_t next_ = 0;
    std::priority_queue<timed_action> actions_;
};

// Returns the largest number of the points in time, which are sorted, in any
// window of the length.
inline std::size_t most_in_window(const std::vector<double>& times,
                                  milliseconds window)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last)
    {
        while (times[last] - times[first] >= window.count())
        {
            ++first;
        }
        most = std::max(most, last + 1 - first);
    }
    return most;
}

struct account_record
{
    std::vector<double> sent_at_ms_;
    std::size_t refused_ = 0;
    // Calls that one token bucket for all VMs would have refused, and its
    // state.
    std::size_t above_limit_ = 0;
    double tokens_ = 0.0;
    double counted_at_ms_ = -60'000.0;

    std::size_t calls() const
    {
        return sent_at_ms_.size() + refused_;
    }
};

class permit_fleet
{
public:
    static constexpr std::size_t grantor_count = 3;

    permit_fleet(std::size_t vm_count,
                 std::map<std::string, fleet_limit> limits)
        : limits_(std::move(limits))
        , vms_(vm_count)
        , ledgers_(grantor_count)
        , reachable_(grantor_count, true)
    {
        // They have run for a minute.
        for (auto& ledger : ledgers_)
        {
            ledger.started_at_ = milliseconds(-60'000.0);
        }
    }

    scripted_clock clock_;
    std::map<std::string, account_record> records_;
    std::size_t messages_ = 0;
    std::size_t bytes_ = 0;

    std::size_t vm_count() const
    {
        return vms_.size();
    }

    void restart_grantor(std::size_t index)
    {
        ledgers_[index] = permit_ledger{};
        ledgers_[index].started_at_ = clock_.now();
    }

    void stop_grantor(std::size_t index)
    {
        reachable_[index] = false;
    }

    // A call of the account arrives at the VM now.
    void call(std::size_t vm_index, const std::string& account)
    {
        auto& state = state_of(vm_index, account);
        const auto now = clock_.now();
        compare_with_limit(account);
        if (state.waiting_ == 0 && take_permit(state.stock_, now))
        {
            records_[account].sent_at_ms_.push_back(now.count());
        }
        else if (now < state.stock_.refused_until_)
        {
            ++records_[account].refused_;
        }
        else
        {
            ++state.waiting_;
        }
        request(vm_index, account);
    }

private:
    // Of the network between VMs, and of a client.
    static constexpr milliseconds one_way{1.0};
    static constexpr milliseconds response_timeout{60.0};
    static constexpr milliseconds unreachable_time{500.0};
    // A request with an account's name and its response, in Cap'n Proto with
    // framing, and a TCP and an IP header for each.
    static constexpr std::size_t request_bytes = 72 + 40;
    static constexpr std::size_t response_bytes = 56 + 40;

    struct account_state
    {
        permit_stock stock_;
        int waiting_ = 0;
        bool asking_ = false;
        std::size_t grantor_ = 0;
        std::size_t tried_ = 0;
        bool was_refused_ = false;
        bool missed_grantor_ = false;
        milliseconds retry_after_{0.0};
    };

    struct vm_state
    {
        std::map<std::string, account_state> accounts_;
        std::vector<milliseconds> unreachable_until_ =
            std::vector<milliseconds>(grantor_count, milliseconds(0.0));
    };

    void compare_with_limit(const std::string& account)
    {
        const auto& limit = limits_.at(account);
        auto& record = records_[account];
        const double now_ms = clock_.now().count();
        const double elapsed_s = (now_ms - record.counted_at_ms_) / 1000.0;
        record.tokens_ = std::min(
            limit.burst_, record.tokens_ + limit.rate_per_second_ * elapsed_s);
        record.counted_at_ms_ = now_ms;
        if (record.tokens_ < 1.0)
        {
            ++record.above_limit_;
            return;
        }
        record.tokens_ -= 1.0;
    }

    account_state& state_of(std::size_t vm_index, const std::string& account)
    {
        auto& accounts = vms_[vm_index].accounts_;
        const auto inserted = accounts.try_emplace(account);
        if (inserted.second)
        {
            const std::hash<std::string> hash;
            inserted.first->second.grantor_ =
                (vm_index + hash(account)) % grantor_count;
        }
        return inserted.first->second;
    }

    void request(std::size_t vm_index, const std::string& account)
    {
        auto& state = state_of(vm_index, account);
        if (state.asking_ ||
            permits_to_request(state.stock_, state.waiting_, clock_.now()) == 0)
        {
            return;
        }
        state.asking_ = true;
        state.tried_ = 0;
        state.was_refused_ = false;
        state.missed_grantor_ = false;
        ask(vm_index, account);
    }

    void ask(std::size_t vm_index, const std::string& account)
    {
        auto& state = state_of(vm_index, account);
        auto& vm = vms_[vm_index];
        const auto now = clock_.now();
        while (state.tried_ < grantor_count &&
               now < vm.unreachable_until_[state.grantor_])
        {
            state.missed_grantor_ = true;
            use_next_grantor(state);
        }
        const int wanted =
            permits_to_request(state.stock_, state.waiting_, now);
        if (state.tried_ >= grantor_count || wanted == 0)
        {
            finish(account, state);
            return;
        }
        const auto index = state.grantor_;
        count_message(request_bytes);
        if (!reachable_[index])
        {
            clock_.run_at(now + response_timeout,
                          [this, vm_index, account, index]
                          {
                              on_no_response(vm_index, account, index);
                          });
            return;
        }
        permit_request sent{
            {limit_kind::account, account}, wanted, state.missed_grantor_};
        clock_.run_at(now + one_way,
                      [this, vm_index, account, index, sent, now]
                      {
                          respond(vm_index, account, index, sent, now);
                      });
    }

    void respond(std::size_t vm_index,
                 const std::string& account,
                 std::size_t index,
                 const permit_request& sent,
                 milliseconds asked_at)
    {
        const auto share = share_of(limits_.at(account), grantor_count);
        const auto grant =
            take_permits(ledgers_[index], share, sent, clock_.now());
        count_message(response_bytes);
        clock_.run_at(clock_.now() + one_way,
                      [this, vm_index, account, sent, grant, asked_at]
                      {
                          on_grant(vm_index, account, sent, grant, asked_at);
                      });
    }

    void on_grant(std::size_t vm_index,
                  const std::string& account,
                  const permit_request& sent,
                  const permit_grant& grant,
                  milliseconds asked_at)
    {
        auto& state = state_of(vm_index, account);
        const auto now = clock_.now();
        add_permits(state.stock_, grant.permits_, grant.lease_, asked_at, now);
        // The calls were counted when they arrived.
        while (state.waiting_ > 0 && take_waiting_permit(state, now))
        {
            --state.waiting_;
            records_[account].sent_at_ms_.push_back(now.count());
        }
        if (grant.permits_ < sent.wanted_)
        {
            state.retry_after_ =
                state.was_refused_
                    ? std::min(state.retry_after_, grant.retry_after_)
                    : grant.retry_after_;
            state.was_refused_ = true;
            ++state.tried_;
        }
        // Requests take turns, so that no grantor's bucket overflows while
        // another one is empty.
        state.grantor_ = (state.grantor_ + 1) % grantor_count;
        if (state.waiting_ > 0)
        {
            ask(vm_index, account);
            return;
        }
        state.asking_ = false;
    }

    void on_no_response(std::size_t vm_index,
                        const std::string& account,
                        std::size_t index)
    {
        vms_[vm_index].unreachable_until_[index] =
            clock_.now() + unreachable_time;
        ask(vm_index, account);
    }

    static bool take_waiting_permit(account_state& state, milliseconds now)
    {
        auto stock = state.stock_;
        if (!take_permit(stock, now))
        {
            return false;
        }
        state.stock_.batches_ = stock.batches_;
        return true;
    }

    static void use_next_grantor(account_state& state)
    {
        state.grantor_ = (state.grantor_ + 1) % grantor_count;
        ++state.tried_;
    }

    void finish(const std::string& account, account_state& state)
    {
        records_[account].refused_ += static_cast<std::size_t>(state.waiting_);
        if (state.waiting_ > 0)
        {
            record_refusal(state.stock_, state.retry_after_, clock_.now());
        }
        state.waiting_ = 0;
        state.asking_ = false;
    }

    void count_message(std::size_t bytes)
    {
        ++messages_;
        bytes_ += bytes;
    }

    std::map<std::string, fleet_limit> limits_;
    std::vector<vm_state> vms_;
    std::vector<permit_ledger> ledgers_;
    std::vector<bool> reachable_;
};

} // namespace anvilturn

#endif
