#ifndef AV_FEED_STORE_SESSION_HPP
#define AV_FEED_STORE_SESSION_HPP

#include <av_core/milliseconds.hpp>
#include <av_feed/store_adapter.hpp>
#include <av_registry/listed_object.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace anvilturn
{

// Callbacks for the contents of the store.
struct store_observer
{
    std::function<void(const std::vector<listed_object<release>>& objects)>
        on_releases_;
    std::function<void(const std::vector<listed_object<target_spec>>& objects)>
        on_target_listing_;
    std::function<void(const std::vector<object_change<target_spec>>& changes)>
        on_target_changes_;
    // Not called if the store's evacuations are not read.
    std::function<void(
        const std::vector<listed_object<evacuation_spec>>& objects)>
        on_evacuation_listing_;
    std::function<void(
        const std::vector<object_change<evacuation_spec>>& changes)>
        on_evacuation_changes_;
    // The store has answered. Called before the callback for what it has
    // answered.
    std::function<void()> on_answer_;
    // The contents of all collections are known to be complete as of the time
    // that current_at() returns, which has increased.
    std::function<void()> on_current_;
};

// How often a session calls the store.
struct store_call_intervals
{
    // From one check to the next while the store answers.
    milliseconds check_interval_;
    // Range of the time between two checks while the store does not answer,
    // before it is randomized.
    milliseconds initial_backoff_;
    milliseconds max_backoff_;
    // From the end of an outage until the collections are listed again.
    milliseconds relisting_delay_;
};

// Follows the store's collections while it is running. After a failed call it
// checks by the cheapest call, at growing intervals, whether the store answers,
// before it lists the collections again. Runs on the thread of the io_context
// only.
class store_session
{
public:
    store_session(boost::asio::io_context& context,
                  store_calls calls,
                  store_observer observer,
                  const store_call_intervals& intervals);
    ~store_session();
    store_session(const store_session&) = delete;
    store_session& operator=(const store_session&) = delete;

    // Lists the collections at once and watches them.
    void start();
    // Checks first, by a cheap call, whether the store answers.
    void start_with_check();
    void stop();

    // Sets how often the store is called from the next call on.
    void set_intervals(const store_call_intervals& intervals);

    bool is_running() const;

    // Returns when the store last answered; zero if never.
    milliseconds answered_at() const;

    // Returns the latest time at which the known contents of all collections
    // were certainly complete; zero if never. Unlike an answer of any kind,
    // this shows that no change has been missed.
    milliseconds current_at() const;

    // Returns whether all collections have been listed and no call has failed
    // since.
    bool is_synced() const;

    // Returns the revision of the store up to which targets are known.
    store_revision target_revision() const;

    // Returns the revision of the store up to which evacuations are known.
    store_revision evacuation_revision() const;

    store_call_counts counts() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
