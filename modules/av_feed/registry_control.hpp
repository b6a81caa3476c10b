#ifndef AV_FEED_REGISTRY_CONTROL_HPP
#define AV_FEED_REGISTRY_CONTROL_HPP

#include <av_core/milliseconds.hpp>
#include <av_feed/store_adapter.hpp>
#include <av_model/release.hpp>
#include <av_model/target_spec.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace anvilturn
{

// Who is told what the store holds.
struct registry_handlers
{
    std::function<void(std::shared_ptr<const release> value)> on_release_;
    std::function<void(const std::map<std::string, target_spec>& targets)>
        on_targets_;
};

// What one VM knows of the store at one moment.
struct registry_state
{
    bool store_answers_ = false;
    // When the store last answered; zero if never.
    milliseconds answered_at_;
    // When the release and the targets last changed here; zero if never.
    milliseconds release_at_;
    milliseconds targets_at_;
    release_version version_ = 0;
    std::size_t targets_ = 0;
    store_call_counts calls_;
};

// The control plane of a VM whose releases and targets come from the
// platform's store; use control_plane where VMs spread releases themselves.
// All runs on the thread of the io_context. The version told never falls.
class registry_control
{
public:
    registry_control(boost::asio::io_context& context,
                     store_calls calls,
                     registry_handlers handlers);
    ~registry_control();
    registry_control(const registry_control&) = delete;
    registry_control& operator=(const registry_control&) = delete;

    void start();

    registry_state state() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
