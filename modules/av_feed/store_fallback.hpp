// Private to av_feed.

#ifndef AV_FEED_STORE_FALLBACK_HPP
#define AV_FEED_STORE_FALLBACK_HPP

#include <av_core/milliseconds.hpp>
#include <av_core/monotonic_clock.hpp>
#include <av_feed/store_replica.hpp>
#include <av_feed/store_session.hpp>
#include <av_net/callback_timer.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace anvilturn
{

// A watcher checks often, because its subscribers ignore its updates once its
// contents are older than max_contents_age, and because it has another source
// of changes only once they have grown old; see watcher_fallback.
constexpr store_call_intervals watcher_call_intervals{milliseconds(400.0),
                                                      milliseconds(100.0),
                                                      milliseconds(300.0),
                                                      milliseconds(0.0)};
// Other VMs check less often and list later: after an outage the watchers reach
// the store first and publish its contents within the delay, so the calls of
// the others would only load the store, whose rate all VMs share.
constexpr store_call_intervals subscriber_call_intervals{milliseconds(1500.0),
                                                         milliseconds(800.0),
                                                         milliseconds(4000.0),
                                                         milliseconds(1200.0)};

// Decides when a VM that is no watcher reads the store itself: while no watcher
// sends it updates and, on a standby, also while the watcher's contents are
// old. Runs on the thread of the io_context only.
class store_fallback
{
public:
    // The session and the replica must outlive it. The function returns whether
    // a snapshot from a watcher is arriving.
    store_fallback(boost::asio::io_context& context,
                   store_session& store,
                   store_replica& replica,
                   std::function<bool()> is_receiving_snapshot);

    // The VM has started, and has no updates from a watcher yet.
    void start();
    // Updates from a watcher have begun.
    void record_updates();
    // Updates from the watcher have ended.
    void record_update_loss();

    bool is_standby() const;
    // Sets whether this VM is a standby of the watcher at the address.
    void set_standby(bool is_standby, const std::string& watcher);
    // On a standby, follows the store while the watcher's contents are old.
    void prepare_takeover(milliseconds contents_age);

private:
    void schedule(milliseconds time);
    void follow_store();
    bool awaits_first_snapshot() const;

    const milliseconds started_at_ = monotonic_now();
    store_session& store_;
    store_replica& replica_;
    const std::function<bool()> is_receiving_snapshot_;
    callback_timer timer_;
    // Whether a watcher sends usable updates to this VM.
    bool receives_updates_ = false;
    // Whether this VM is a standby of its watcher.
    bool is_standby_ = false;
};

} // namespace anvilturn

#endif
