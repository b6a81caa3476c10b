#ifndef AV_CONTROL_PLATFORM_FEED_HPP
#define AV_CONTROL_PLATFORM_FEED_HPP

// Only for the source files of this module: it includes Boost.Asio.

#include <av_control/control_platform.hpp>
#include <av_core/milliseconds.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace anvilturn
{

// How often this VM asks the platform.
enum class platform_poll_mode
{
    // Peers pass on what changes; the platform is asked now and then.
    slow_poll,
    // This VM watches for its failure domain.
    watch,
    // No peer answers: the platform is all there is.
    alone
};

// Reads the release and the list of VMs from the platform, again and again.
// All functions and callbacks belong to the thread of the context.
class platform_feed
{
public:
    struct events
    {
        // The text of the release, or none if the platform has none; and when
        // the read began.
        std::function<void(std::optional<std::string>, milliseconds)>
            on_release_;
        std::function<void(std::vector<platform_vm>)> on_list_;
        // A call that began then was answered.
        std::function<void(milliseconds)> on_call_succeeded_;
        // The release can't be read now; it will be tried again.
        std::function<void()> on_failure_;
    };

    platform_feed(boost::asio::io_context& context,
                  control_platform platform,
                  events events,
                  std::uint64_t seed);

    // Begins to ask.
    void start();

    // Sets how often the platform is asked; call it again at each round. The
    // pause of a slow poll grows with the members, so that all slow polls
    // together don't grow with the fleet.
    void set_poll_mode(platform_poll_mode poll_mode, std::size_t members);

    // Returns when the platform last answered; zero if never.
    milliseconds answered_at() const noexcept;

    // Returns the calls so far.
    platform_call_counts counts() const;

private:
    void read_release();
    void watch();
    void list_vms();
    void schedule_platform_watch(milliseconds delay);
    void schedule_list(milliseconds delay);
    milliseconds list_interval() const;
    milliseconds add_jitter(milliseconds delay);
    milliseconds retry_delay();
    void record_platform_answer(milliseconds began);

    control_platform platform_;
    events events_;
    std::minstd_rand generator_;
    boost::asio::steady_timer watch_timer_;
    boost::asio::steady_timer list_timer_;
    platform_poll_mode poll_mode_ = platform_poll_mode::watch;
    milliseconds slow_poll_interval_{60000.0};
    store_revision revision_ = 0;
    // Versions of the release object: of the newest read, and of the newest
    // change that a watch reported.
    object_version read_version_ = object_absent;
    object_version changed_version_ = object_absent;
    bool must_read_ = true;
    bool watch_pending_ = false;
    bool list_pending_ = false;
    int failures_ = 0;
    milliseconds answered_at_{0.0};
};

} // namespace anvilturn

#endif
