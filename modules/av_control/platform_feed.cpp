#include <av_control/platform_feed.hpp>

#include <av_core/log_event.hpp>
#include <av_core/monotonic_clock.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace anvilturn
{
namespace
{

constexpr milliseconds watch_wait{20000.0};
constexpr milliseconds watch_wait_without_peers{1000.0};
constexpr milliseconds slow_poll_interval_per_member{2500.0};
constexpr milliseconds min_slow_poll_interval{60000.0};
constexpr milliseconds list_interval_watching{10000.0};
constexpr milliseconds list_interval_without_peers{1200.0};
constexpr milliseconds base_retry_delay{200.0};
constexpr milliseconds max_retry_delay{5000.0};

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
// the end of the slow poll interval. The delay after a failed call is kept.
void platform_feed::set_poll_mode(platform_poll_mode poll_mode,
                                  std::size_t members)
{
    slow_poll_interval_ =
        std::max(min_slow_poll_interval,
                 slow_poll_interval_per_member * static_cast<double>(members));
    const bool is_more_frequent = poll_mode > poll_mode_;
    poll_mode_ = poll_mode;
    if (!is_more_frequent)
    {
        return;
    }
    if (watch_pending_ && failures_ == 0)
    {
        watch_timer_.cancel();
    }
    if (list_pending_ && failures_ == 0)
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
    const milliseconds started_at = monotonic_now();
    platform_.read_release_(
        [this,
         started_at](absl::StatusOr<std::optional<platform_object>> object)
        {
            if (!object.ok())
            {
                ++failures_;
                must_read_ = true;
                events_.on_failure_();
                schedule_platform_watch(retry_delay());
                return;
            }
            record_platform_answer(started_at);
            std::optional<std::string> text;
            if (*object)
            {
                read_version_ = std::max(read_version_, (*object)->version_);
                text = std::move((*object)->value_);
            }
            // A read may return an older version than the change that
            // triggered it.
            must_read_ = read_version_ < changed_version_;
            events_.on_release_(std::move(text),
                                must_read_ ? std::nullopt
                                           : std::make_optional(started_at));
            schedule_platform_watch(must_read_ ? base_retry_delay
                                               : milliseconds());
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
    if (poll_mode_ != platform_poll_mode::slow_poll)
    {
        wait = poll_mode_ == platform_poll_mode::without_peers
                   ? watch_wait_without_peers
                   : watch_wait;
    }
    const milliseconds started_at = monotonic_now();
    platform_.watch_release_(
        revision_,
        wait,
        [this, started_at](absl::StatusOr<platform_changes> changes)
        {
            if (!changes.ok())
            {
                ++failures_;
                // Changes may have been missed, so the release is read again.
                must_read_ = true;
                schedule_platform_watch(retry_delay());
                return;
            }
            record_platform_answer(started_at);
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
            events_.on_unchanged_(started_at);
            schedule_platform_watch(poll_mode_ == platform_poll_mode::slow_poll
                                        ? add_jitter(slow_poll_interval_)
                                        : milliseconds());
        });
}

void platform_feed::list_vms()
{
    const milliseconds started_at = monotonic_now();
    platform_.list_vms_(
        [this, started_at](absl::StatusOr<std::vector<platform_vm>> vms)
        {
            if (!vms.ok())
            {
                ++failures_;
                schedule_list(retry_delay());
                return;
            }
            record_platform_answer(started_at);
            events_.on_list_(*std::move(vms));
            schedule_list(add_jitter(list_interval()));
        });
}

void platform_feed::schedule_platform_watch(milliseconds delay)
{
    watch_pending_ = true;
    watch_timer_.expires_after(to_duration(delay));
    // Cancelling the timer starts the watch at once.
    watch_timer_.async_wait(
        [this](const boost::system::error_code&)
        {
            watch_pending_ = false;
            watch();
        });
}

void platform_feed::schedule_list(milliseconds delay)
{
    list_pending_ = true;
    list_timer_.expires_after(to_duration(delay));
    list_timer_.async_wait(
        [this](const boost::system::error_code&)
        {
            list_pending_ = false;
            list_vms();
        });
}

milliseconds platform_feed::list_interval() const
{
    switch (poll_mode_)
    {
    case platform_poll_mode::slow_poll:
        return slow_poll_interval_;
    case platform_poll_mode::watch:
        return list_interval_watching;
    case platform_poll_mode::without_peers:
        break;
    }
    return list_interval_without_peers;
}

// Adds random jitter, so that VMs that started together don't keep calling at
// the same time.
milliseconds platform_feed::add_jitter(milliseconds delay)
{
    std::uniform_real_distribution<double> factor(0.75, 1.25);
    return delay * factor(generator_);
}

milliseconds platform_feed::retry_delay()
{
    constexpr int max_doublings = 5;
    const int doublings = std::min(failures_, max_doublings);
    const milliseconds delay =
        base_retry_delay *
        static_cast<double>(1U << static_cast<unsigned>(doublings));
    return add_jitter(std::min(delay, max_retry_delay));
}

void platform_feed::record_platform_answer(milliseconds started_at)
{
    failures_ = 0;
    answered_at_ = std::max(answered_at_, started_at);
    events_.on_answer_(started_at);
}

} // namespace anvilturn
