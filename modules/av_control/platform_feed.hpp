#ifndef AV_CONTROL_PLATFORM_FEED_HPP
#define AV_CONTROL_PLATFORM_FEED_HPP

// Include only from source files of this module: it includes Boost.Asio.

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

// How often this VM calls the platform, in increasing order.
enum class platform_poll_mode
{
    // Peers forward changes; the platform is polled at long intervals.
    slow_poll,
    // This VM watches the platform for its failure domain.
    watch,
    // No peer answers: the platform is the only source.
    without_peers
};

// Repeatedly reads the release and the list of VMs from the platform. Functions
// must be called, and callbacks run, on the thread of the context.
class platform_feed
{
public:
    struct events
    {
        // A call that began at the given time succeeded. It may have said
        // nothing about the release.
        std::function<void(milliseconds)> on_answer_;
        // The text of the release, empty if the platform has none, and the time
        // as of which it is the newest; nothing if a watch has reported a newer
        // one.
        std::function<void(std::optional<std::string>,
                           std::optional<milliseconds>)>
            on_release_;
        std::function<void(std::vector<platform_vm>)> on_list_;
        // The release that was read last is the newest as of the given time.
        std::function<void(milliseconds)> on_unchanged_;
        // Reading the release failed; it will be retried.
        std::function<void()> on_failure_;
    };

    platform_feed(boost::asio::io_context& context,
                  control_platform platform,
                  events events,
                  std::uint64_t seed);

    // Starts the calls; does nothing without a platform.
    void start();

    // Sets how often the platform is called; to be called at each round. The
    // interval of slow polls grows with the number of members, so that the load
    // of all slow polls on the platform does not grow with the fleet.
    void set_poll_mode(platform_poll_mode poll_mode, std::size_t members);

    // Returns the start of the latest call that the platform answered; zero if
    // none.
    milliseconds answered_at() const noexcept;

    // Returns the number of calls so far.
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
    void record_platform_answer(milliseconds started_at);

    control_platform platform_;
    events events_;
    std::minstd_rand generator_;
    boost::asio::steady_timer watch_timer_;
    boost::asio::steady_timer list_timer_;
    platform_poll_mode poll_mode_ = platform_poll_mode::watch;
    milliseconds slow_poll_interval_{60000.0};
    store_revision revision_ = 0;
    // Newest version of the release object that was read, and newest one that
    // a watch reported.
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
