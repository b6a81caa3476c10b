#ifndef ACCEPTANCE_FIXTURE_HPP
#define ACCEPTANCE_FIXTURE_HPP

#include "release_fixture.hpp"

#include <algorithm>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace anvilturn
{

// Fault that the fake store injects into one call.
enum class store_fault
{
    none,
    // Fails without effect.
    down,
    // Takes effect, but the response is lost.
    response_lost,
    // A write takes effect only later, and the response is lost.
    late,
    // A read returns an earlier version.
    stale
};

// A store of one object with conditional writes, injected faults and delayed
// writes.
class fake_store
{
public:
    explicit fake_store(const release& first)
        : heads_({{1, write_release(first)}})
    {
    }

    head_read read(store_fault fault) const
    {
        if (fault == store_fault::down)
        {
            return {make_error(error_kind::platform_unreachable, "down")};
        }
        if (fault == store_fault::response_lost || fault == store_fault::late)
        {
            return {
                make_error(error_kind::platform_unreachable, "no response")};
        }
        const std::size_t age = fault == store_fault::stale ? 2 : 1;
        return {std::optional(
            heads_[heads_.size() - std::min(age, heads_.size())])};
    }

    head_written write(const write_head& action, store_fault fault)
    {
        if (fault == store_fault::down)
        {
            return {make_error(error_kind::platform_unreachable, "down")};
        }
        if (fault == store_fault::late)
        {
            late_writes_.push_back(action);
            return {make_error(error_kind::platform_answer_lost, "late")};
        }
        const bool is_written = try_write(action);
        if (fault == store_fault::response_lost)
        {
            return {make_error(error_kind::platform_answer_lost, "lost")};
        }
        if (!is_written)
        {
            return {make_error(error_kind::version_mismatch, "moved")};
        }
        return {heads_.back().version_};
    }

    // Applies the oldest delayed write, if its condition still holds.
    void apply_late_write()
    {
        if (!late_writes_.empty())
        {
            try_write(late_writes_.front());
            late_writes_.pop_front();
        }
    }

    void apply_all_late_writes()
    {
        while (!late_writes_.empty())
        {
            apply_late_write();
        }
    }

    release current() const
    {
        return parse_release(heads_.back().text_, "store").value();
    }

    // Whether each head either has the same release as the head before or a
    // release version higher by one.
    bool is_version_history_valid() const
    {
        release before = parse_release(heads_.front().text_, "store").value();
        for (const release_head& head : heads_)
        {
            const release after = parse_release(head.text_, "store").value();
            const bool is_fence = after == before;
            if (!is_fence && after.version_ != before.version_ + 1)
            {
                return false;
            }
            before = after;
        }
        return true;
    }

private:
    bool try_write(const write_head& action)
    {
        if (action.expected_ != heads_.back().version_)
        {
            return false;
        }
        heads_.push_back({action.expected_ + 1, action.text_});
        return true;
    }

    std::vector<release_head> heads_;
    std::deque<write_head> late_writes_;
};

// One acceptance or settlement, run step by step against the store.
class operator_attempt
{
public:
    explicit operator_attempt(acceptance_step first)
        : step_(std::move(first))
    {
    }

    bool is_finished() const
    {
        return std::holds_alternative<finish_acceptance>(step_.action_);
    }

    const finish_acceptance& result() const
    {
        return std::get<finish_acceptance>(step_.action_);
    }

    // Carries out one action, which takes 10 ms besides its delay.
    void advance(fake_store& store, store_fault fault)
    {
        acceptance_event event = head_read{std::optional<release_head>()};
        if (const auto* read = std::get_if<read_head>(&step_.action_))
        {
            now_ = now_ + read->delay_;
            event = store.read(fault);
        }
        else
        {
            event = store.write(std::get<write_head>(step_.action_), fault);
        }
        now_ = now_ + milliseconds(10.0);
        step_ = step_acceptance(step_.state_, event, now_);
    }

    void run(fake_store& store)
    {
        while (!is_finished())
        {
            advance(store, store_fault::none);
        }
    }

private:
    acceptance_step step_;
    milliseconds now_{0.0};
};

inline operator_attempt accept(const release_note& note,
                               release_version min_version = 0)
{
    return operator_attempt(start_acceptance(note,
                                             min_version,
                                             test_limits(),
                                             acceptance_limits(),
                                             milliseconds(0.0)));
}

inline operator_attempt settle(const std::string& id)
{
    return operator_attempt(start_settlement(
        id, 0, test_limits(), acceptance_limits(), milliseconds(0.0)));
}

inline release_note drain_note(const std::string& id, const std::string& target)
{
    return release_note_builder(id, 1)
        .change_target(change_of(target, "draining", "true"))
        .build()
        .value();
}

} // namespace anvilturn

#endif
