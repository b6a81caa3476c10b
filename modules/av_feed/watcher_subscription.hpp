// Private to av_feed.

#ifndef AV_FEED_WATCHER_SUBSCRIPTION_HPP
#define AV_FEED_WATCHER_SUBSCRIPTION_HPP

#include <av_core/milliseconds.hpp>
#include <av_feed/registry_control.hpp>
#include <av_feed/store_fallback.hpp>
#include <av_feed/store_replica.hpp>
#include <av_feed/store_session.hpp>
#include <av_net/callback_timer.hpp>
#include <av_registry/watcher_choice.hpp>
#include <av_replication/registry_subscriber.hpp>
#include <av_replication/registry_update.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace anvilturn
{

// The subscription of a VM to a watcher: chooses the watcher, applies its
// updates or rejects them, and replaces a watcher that is lost or worse than
// another one. Runs on the thread of the io_context only.
class watcher_subscription
{
public:
    // The replica, the session and the fallback must outlive it. There are no
    // watchers to choose from if this VM is one of them.
    watcher_subscription(boost::asio::io_context& context,
                         const registry_options& options,
                         bool follows_evacuations,
                         store_replica& replica,
                         const store_session& store,
                         store_fallback& fallback);

    // Subscribes to the best watcher that has not failed recently. If there is
    // none, tries again after the search interval.
    void subscribe();

    // Applies an update that was found to be usable, also one that did not come
    // from the subscription. The age is that of the watcher's contents when the
    // update was composed.
    void apply(const registry_update& update,
               milliseconds contents_age,
               milliseconds now);

    // The targets were read from the store. Changes from a watcher can't be
    // applied to them, only to a snapshot from the same watcher.
    void discard_position();

    // Returns whether a watcher sends usable updates to this VM.
    bool receives_updates() const;
    // Returns the address of the watcher that was chosen last; empty if none
    // was.
    std::string watcher() const;
    // Returns when the store last answered this VM or its watcher; zero if
    // never.
    milliseconds answered_at() const;
    // Returns the latest time at which the contents that this VM has read or
    // got from a watcher were certainly complete; zero if never.
    milliseconds current_at() const;
    // Returns how often updates from a watcher have ended.
    std::uint64_t losses() const;
    // Returns whether the first message with contents is arriving.
    bool is_receiving_contents() const;

private:
    enum class end_cause
    {
        // The watcher is unreachable or sent outdated or malformed data.
        failed,
        // This VM ended the subscription to search for a better watcher or to
        // request a snapshot.
        abandoned
    };

    void start_client();
    std::size_t preferred_watcher();
    void schedule_search();
    bool handle_update(const registry_update& update);
    bool can_apply(const registry_update& update, milliseconds now);
    void begin_receiving(const registry_update& update);
    bool handle_unreachable_store(const registry_update& update,
                                  milliseconds now);
    void handle_end(const std::string& reason);
    void record_update_loss(const std::string& reason, milliseconds now);

    boost::asio::io_context& context_;
    const registry_options options_;
    const bool follows_evacuations_;
    store_replica& replica_;
    const store_session& store_;
    store_fallback& fallback_;
    std::vector<watcher_record> watchers_;
    std::minstd_rand random_;
    callback_timer search_timer_;
    // When the store last answered a watcher, and when the watcher's contents
    // were certainly complete, by its report.
    milliseconds watcher_answered_at_;
    milliseconds watcher_current_at_;
    std::uint64_t losses_ = 0;
    std::optional<std::size_t> watcher_;
    replication_position position_;
    bool receives_updates_ = false;
    std::optional<std::size_t> last_watcher_;
    // Whether the current subscription is a status query only.
    bool is_status_query_ = false;
    // Whether the watcher has named the evacuations since the current
    // subscription began.
    bool evacuations_named_ = false;
    // Why the current subscription ends.
    end_cause end_cause_ = end_cause::failed;
    // Whether this VM lacks the state that the watcher's changes apply to, so
    // that only a snapshot can be used.
    bool needs_snapshot_ = false;
    std::unique_ptr<registry_subscriber> client_;
};

} // namespace anvilturn

#endif
