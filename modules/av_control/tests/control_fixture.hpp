#ifndef AV_CONTROL_TESTS_CONTROL_FIXTURE_HPP
#define AV_CONTROL_TESTS_CONTROL_FIXTURE_HPP

#include <av_control/av_control.hpp>
#include <av_control/tests/platform_stub.hpp>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace anvilturn
{

// What the handlers of some control planes were told, by VM.
class handler_recorder
{
public:
    // Waits until the condition holds; false after a time that no correct run
    // needs.
    template <typename Condition>
    bool wait_until(Condition condition)
    {
        constexpr std::chrono::seconds longest_wait{60};
        std::unique_lock<std::mutex> lock(mutex_);
        return changed_.wait_for(lock, longest_wait, condition);
    }

    control_handlers handlers_for(const std::string& vm)
    {
        control_handlers handlers;
        handlers.on_release_ =
            [this, vm](const std::shared_ptr<const release>& value)
        {
            change(
                [&]
                {
                    version_decreased_ =
                        version_decreased_ || value->version_ <= releases_[vm];
                    releases_[vm] = value->version_;
                });
        };
        handlers.on_fleet_ =
            [this, vm](const std::shared_ptr<const fleet_view>& value)
        {
            change(
                [&]
                {
                    fleets_[vm] = *value;
                });
        };
        handlers.on_notice_ = [this, vm](const target_notice& value)
        {
            change(
                [&]
                {
                    notices_[vm].push_back(value);
                });
        };
        return handlers;
    }

    std::map<std::string, release_version> releases_;
    std::map<std::string, fleet_view> fleets_;
    std::map<std::string, std::vector<target_notice>> notices_;
    bool version_decreased_ = false;

private:
    template <typename Change>
    void change(Change apply)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        apply();
        changed_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
};

// Some VMs on loopback, each in its own failure domain of three.
class small_fleet
{
public:
    explicit small_fleet(int vms)
    {
        for (int i = 0; i < vms; ++i)
        {
            add("vm-" + std::to_string(i));
        }
    }

    control_plane& add(const std::string& name)
    {
        control_options options;
        options.self_.name_ = name;
        options.self_.failure_domain_ =
            "domain-" + std::to_string(planes_.size() % 3);
        options.self_.peer_address_ = "127.0.50.1:0";
        options.deployment_ = "test";
        options.seed_addresses_ = seeds_;
        options.platform_ = platform_.factory();
        options.decode_ = decode_test_release;
        auto plane =
            control_plane::start(std::move(options), told_.handlers_for(name));
        if (!plane.ok())
        {
            throw std::runtime_error(std::string(plane.status().message()));
        }
        seeds_.push_back((*plane)->self().peer_address_);
        planes_[name] = *std::move(plane);
        return *planes_[name];
    }

    bool all_have_members(std::size_t members)
    {
        return told_.wait_until(
            [&]
            {
                return std::all_of(
                    planes_.begin(),
                    planes_.end(),
                    [&](const auto& plane)
                    {
                        return told_.fleets_[plane.first].members_.size() ==
                               members;
                    });
            });
    }

    bool all_have_release(release_version version)
    {
        return told_.wait_until(
            [&]
            {
                return std::all_of(planes_.begin(),
                                   planes_.end(),
                                   [&](const auto& plane)
                                   {
                                       return told_.releases_[plane.first] ==
                                              version;
                                   });
            });
    }

    // Waits until the VM has done so many more rounds.
    void run_rounds(const std::string& vm, std::uint64_t rounds)
    {
        const auto& plane = planes_[vm];
        const auto last = plane->read_state().rounds_ + rounds;
        while (plane->read_state().rounds_ < last)
        {
            std::this_thread::yield();
        }
    }

    // Checks the condition after each round of the VM; false if it does not
    // hold after more rounds than any correct run needs.
    template <typename Condition>
    bool run_until(const std::string& vm, Condition condition)
    {
        constexpr int max_rounds = 300;
        for (int i = 0; i < max_rounds; ++i)
        {
            if (condition())
            {
                return true;
            }
            run_rounds(vm, 1);
        }
        return false;
    }

    platform_stub platform_;
    handler_recorder told_;
    std::vector<std::string> seeds_;
    std::map<std::string, std::unique_ptr<control_plane>> planes_;
};

} // namespace anvilturn

#endif
