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

// Who is told what the store holds.
struct store_observer
{
    std::function<void(const std::vector<listed_object<release>>& objects)>
        on_releases_;
    std::function<void(const std::vector<listed_object<target_spec>>& objects)>
        on_target_listing_;
    std::function<void(const std::vector<object_change<target_spec>>& changes)>
        on_target_changes_;
    // The store answers again after it did not; told before what it answers.
    std::function<void()> on_recovery_;
};

// How often a session calls the store.
struct store_call_intervals
{
    // Between two signs of life while nothing changes.
    milliseconds check_period_;
    // The first and the longest pause between two while the store does not
    // answer.
    milliseconds initial_backoff_;
    milliseconds longest_pause_;
    // From the end of an outage until the collections are listed.
    milliseconds relisting_delay_;
};

// Follows the store's collections while it is wanted. When a call fails it
// asks for a sign of life, by the cheapest call and ever more rarely, before
// it lists the collections again. All runs on the thread of the io_context.
class store_session
{
public:
    store_session(boost::asio::io_context& context,
                  store_calls calls,
                  store_observer observer,
                  const store_call_intervals& pace);
    ~store_session();
    store_session(const store_session&) = delete;
    store_session& operator=(const store_session&) = delete;

    void start();
    // Asks the store for a sign of life first, at the price of a cheap call.
    void start_with_check();
    void stop();

    bool is_running() const;

    // When the store last answered; zero if never.
    milliseconds answered_at() const;

    // Whether the collections were listed and no call has failed since.
    bool is_in_step() const;

    // Returns the revision of the store up to which targets are known.
    store_revision target_revision() const;

    store_call_counts counts() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
