#include <av_control/platform_feed.hpp>

#include <av_core/log_event.hpp>
#include <av_core/monotonic_clock.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace anvilturn
{
namespace
{

constexpr milliseconds watch_wait{20000.0};
constexpr milliseconds watch_wait_alone{1000.0};
constexpr milliseconds slow_poll_per_member{2500.0};
constexpr milliseconds shortest_slow_poll{60000.0};
constexpr milliseconds list_interval_watching{10000.0};
constexpr milliseconds list_interval_alone{1200.0};
constexpr milliseconds first_retry{200.0};
constexpr milliseconds last_retry{5000.0};

std::chrono::microseconds to_duration(milliseconds time)
{
    return std::chrono::microseconds(
        static_cast<std::int64_t>(time.count() * 1e3));
}

} // namespace

platform_feed::platform_feed(boost::asio::io_context& context,
                             control_platform platform,
                             events events,
                             std::uint64_t seed)
    : platform_(std::move(platform))
    , events_(std::move(events))
    , generator_(static_cast<std::minstd_rand::result_type>(seed | 1U))
    , watch_timer_(context)
    , list_timer_(context)
{
}

void platform_feed::start()
{
    if (platform_.read_release_)
    {
        read_release();
        list_vms();
    }
}

// A VM that becomes a watcher, or whose peers stop answering, does not wait for
// the end of the slow poll interval.
void platform_feed::set_interest(platform_interest interest,
                                 std::size_t members)
{
    slow_poll_interval_ =
        std::max(shortest_slow_poll,
                 slow_poll_per_member * static_cast<double>(members));
    const bool is_keener = interest > interest_;
    interest_ = interest;
    if (!is_keener)
    {
        return;
    }
    if (watch_waits_ && failures_ == 0)
    {
        watch_timer_.cancel();
    }
    if (list_waits_ && failures_ == 0)
    {
        list_timer_.cancel();
    }
}

milliseconds platform_feed::answered_at() const noexcept
{
    return answered_at_;
}

platform_call_counts platform_feed::counts() const
{
    return platform_.counts_ ? platform_.counts_() : platform_call_counts{};
}

void platform_feed::read_release()
{
    const milliseconds began = monotonic_now();
    platform_.read_release_(
        [this, began](absl::StatusOr<std::optional<platform_object>> object)
        {
            if (!object.ok())
            {
                ++failures_;
                must_read_ = true;
                events_.on_failure_();
                watch_after(retry_delay());
                return;
            }
            note_answer(began);
            std::optional<std::string> text;
            if (*object)
            {
                read_version_ = std::max(read_version_, (*object)->version_);
                text = std::move((*object)->value_);
            }
            // A read may return an older version than the change that
            // triggered it.
            must_read_ = read_version_ < changed_version_;
            events_.on_release_(std::move(text), began);
            watch_after(must_read_ ? first_retry : milliseconds());
        });
}

void platform_feed::watch()
{
    if (must_read_)
    {
        read_release();
        return;
    }
    milliseconds wait;
    if (interest_ != platform_interest::slow_poll)
    {
        wait = interest_ == platform_interest::alone ? watch_wait_alone
                                                     : watch_wait;
    }
    const milliseconds began = monotonic_now();
    platform_.watch_release_(
        revision_,
        wait,
        [this, began](absl::StatusOr<platform_changes> changes)
        {
            if (!changes.ok())
            {
                ++failures_;
                // Changes may have been missed, so the release is read again.
                must_read_ = true;
                watch_after(retry_delay());
                return;
            }
            note_answer(began);
            revision_ = changes->revision_;
            for (const auto& event : changes->events_)
            {
                changed_version_ = std::max(changed_version_, event.version_);
            }
            if (read_version_ < changed_version_)
            {
                read_release();
                return;
            }
            events_.on_answer_(began);
            watch_after(interest_ == platform_interest::slow_poll
                            ? spread_out(slow_poll_interval_)
                            : milliseconds());
        });
}

void platform_feed::list_vms()
{
    const milliseconds began = monotonic_now();
    platform_.list_vms_(
        [this, began](absl::StatusOr<std::vector<platform_vm>> vms)
        {
            if (!vms.ok())
            {
                ++failures_;
                list_after(retry_delay());
                return;
            }
            note_answer(began);
            events_.on_list_(*std::move(vms));
            events_.on_answer_(began);
            list_after(spread_out(list_interval()));
        });
}

void platform_feed::watch_after(milliseconds delay)
{
    watch_waits_ = true;
    watch_timer_.expires_after(to_duration(delay));
    // Cancelling the timer starts the watch at once.
    watch_timer_.async_wait(
        [this](const boost::system::error_code&)
        {
            watch_waits_ = false;
            watch();
        });
}

void platform_feed::list_after(milliseconds delay)
{
    list_waits_ = true;
    list_timer_.expires_after(to_duration(delay));
    list_timer_.async_wait(
        [this](const boost::system::error_code&)
        {
            list_waits_ = false;
            list_vms();
        });
}

milliseconds platform_feed::list_interval() const
{
    switch (interest_)
    {
    case platform_interest::slow_poll:
        return slow_poll_interval_;
    case platform_interest::watch:
        return list_interval_watching;
    case platform_interest::alone:
        break;
    }
    return list_interval_alone;
}

// Adds random jitter, so that VMs that started together don't keep calling at
// the same time.
milliseconds platform_feed::spread_out(milliseconds delay)
{
    std::uniform_real_distribution<double> factor(0.75, 1.25);
    return delay * factor(generator_);
}

milliseconds platform_feed::retry_delay()
{
    constexpr int most_doublings = 5;
    const int doublings = std::min(failures_, most_doublings);
    const milliseconds delay =
        first_retry *
        static_cast<double>(1U << static_cast<unsigned>(doublings));
    return spread_out(std::min(delay, last_retry));
}

void platform_feed::note_answer(milliseconds began)
{
    failures_ = 0;
    answered_at_ = std::max(answered_at_, began);
}

} // namespace anvilturn
