#ifndef AV_CONTROL_TESTS_PLATFORM_STUB_HPP
#define AV_CONTROL_TESTS_PLATFORM_STUB_HPP

#include <av_control/control_platform.hpp>
#include <av_core/error.hpp>
#include <av_core/monotonic_clock.hpp>
#include <av_model/release.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace anvilturn
{

// Decodes a text that starts with the version number: "7 ..." is release 7.
inline absl::StatusOr<release> decode_test_release(const std::string& text)
{
    release decoded;
    decoded.version_ = std::strtoull(text.c_str(), nullptr, 10);
    if (decoded.version_ == 0)
    {
        return make_error(error_kind::release_invalid,
                          "text does not start with a version number");
    }
    return decoded;
}

// An in-process platform with one release object and a list of VMs. Watches
// check for a change every 10 ms.
class platform_stub
{
public:
    platform_factory factory()
    {
        return [this](boost::asio::io_context& context)
        {
            return connect(context);
        };
    }

    void set_down(bool down)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        down_ = down;
    }

    // Lets calls about the release fail while the VMs are still listed.
    void set_release_down(bool down)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        release_down_ = down;
    }

    // Lets reads return the release as it was before its last change, which
    // watches report.
    void set_reads_stale(bool stale)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        reads_stale_ = stale;
    }

    void set_vms(std::vector<platform_vm> vms)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        vms_ = std::move(vms);
    }

    void set_release(std::string text)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        previous_text_ = std::exchange(text_, std::move(text));
        ++version_;
    }

    // Returns the number of reads of the release that returned an older one.
    std::uint64_t stale_reads()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return stale_reads_;
    }

    // Returns the number of calls made, including watches.
    std::uint64_t calls()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return calls_;
    }

private:
    template <typename Value>
    static void post_result(boost::asio::io_context& context,
                            control_platform::callback<Value> done,
                            absl::StatusOr<Value> value)
    {
        boost::asio::post(context,
                          [done = std::move(done), value = std::move(value)]
                          {
                              done(value);
                          });
    }

    static absl::Status unreachable()
    {
        return make_error(error_kind::platform_unreachable, "stub");
    }

    absl::StatusOr<platform_changes> changes_since(store_revision since)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (down_ || release_down_)
        {
            return unreachable();
        }
        platform_changes changes;
        changes.revision_ = version_;
        if (since < version_)
        {
            changes.events_.push_back({"release", version_, false});
        }
        return changes;
    }

    void
    wait_for_change(boost::asio::io_context& context,
                    store_revision since,
                    milliseconds deadline,
                    const control_platform::callback<platform_changes>& done)
    {
        constexpr std::chrono::milliseconds interval{10};
        auto changes = changes_since(since);
        if (!changes.ok() || !changes->events_.empty() ||
            monotonic_now() >= deadline)
        {
            post_result<platform_changes>(context, done, std::move(changes));
            return;
        }
        auto timer =
            std::make_shared<boost::asio::steady_timer>(context, interval);
        timer->async_wait(
            [this, &context, since, deadline, done, timer](
                const boost::system::error_code&)
            {
                wait_for_change(context, since, deadline, done);
            });
    }

    control_platform connect(boost::asio::io_context& context)
    {
        control_platform platform;
        platform.read_release_ = [this, &context](auto done)
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            ++calls_;
            using value = std::optional<platform_object>;
            value object;
            if (reads_stale_ && version_ > 1)
            {
                ++stale_reads_;
                object = platform_object{version_ - 1, previous_text_};
            }
            else if (version_ > 0)
            {
                object = platform_object{version_, text_};
            }
            post_result<value>(context,
                               done,
                               down_ || release_down_
                                   ? absl::StatusOr<value>(unreachable())
                                   : absl::StatusOr<value>(object));
        };
        platform.watch_release_ =
            [this, &context](store_revision since, milliseconds wait, auto done)
        {
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                ++calls_;
            }
            wait_for_change(context, since, monotonic_now() + wait, done);
        };
        platform.list_vms_ = [this, &context](auto done)
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            ++calls_;
            using value = std::vector<platform_vm>;
            post_result<value>(context,
                               done,
                               down_ ? absl::StatusOr<value>(unreachable())
                                     : absl::StatusOr<value>(vms_));
        };
        return platform;
    }

    std::mutex mutex_;
    bool down_ = false;
    bool release_down_ = false;
    bool reads_stale_ = false;
    std::uint64_t stale_reads_ = 0;
    std::uint64_t calls_ = 0;
    object_version version_ = 0;
    std::string text_;
    std::string previous_text_;
    std::vector<platform_vm> vms_;
};

} // namespace anvilturn

#endif
