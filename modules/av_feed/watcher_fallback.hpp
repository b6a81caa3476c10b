// Private to av_feed.

#ifndef AV_FEED_WATCHER_FALLBACK_HPP
#define AV_FEED_WATCHER_FALLBACK_HPP

#include <av_core/milliseconds.hpp>
#include <av_model/service_spec.hpp>
#include <av_net/callback_timer.hpp>
#include <av_replication/registry_subscriber.hpp>
#include <av_replication/registry_update.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace anvilturn
{

// Lets a watcher whose contents grow old, because the store does not answer it
// or does not tell it of changes, get updates from another watcher. Ends when
// it knows the contents from the store again. Runs on the thread of the
// io_context only.
class watcher_fallback
{
public:
    // The function applies an update, and returns whether it could. It is
    // called only with updates of watchers that reach the store.
    using update_handler = std::function<bool(const registry_update& update)>;

    watcher_fallback(boost::asio::io_context& context,
                     const service_spec& service_defaults,
                     std::vector<std::string> other_watchers,
                     std::function<milliseconds()> contents_age,
                     update_handler on_update);

    // Begins to observe the age of the contents.
    void start();
    // This VM knows the contents from the store as of a later time than before.
    void record_current();

    // Returns the watcher that sends updates; empty if there is none.
    std::string watcher() const;

private:
    void schedule();
    void check();
    void subscribe(bool status_query_only);
    bool handle_update(const registry_update& update);
    void handle_end(const std::string& reason);

    boost::asio::io_context& context_;
    const service_spec service_defaults_;
    const std::vector<std::string> watchers_;
    const std::function<milliseconds()> contents_age_;
    const update_handler on_update_;
    callback_timer timer_;
    // Index of the watcher that is queried or subscribed to.
    std::size_t current_ = 0;
    bool is_status_query_ = false;
    // Whether the watcher has just reported that it reaches the store.
    bool may_subscribe_ = false;
    bool receives_updates_ = false;
    std::unique_ptr<registry_subscriber> client_;
};

} // namespace anvilturn

#endif
