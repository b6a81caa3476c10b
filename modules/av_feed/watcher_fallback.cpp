#include <av_feed/watcher_fallback.hpp>

#include <av_core/log_event.hpp>
#include <av_replication/replication_timing.hpp>

#include <utility>

namespace anvilturn
{
namespace
{

// A watcher checks the store every 400 ms, so this is one missed check, even of
// a slow store. Changes must reach it within two seconds all the same.
constexpr milliseconds fallback_age{900.0};
constexpr milliseconds check_interval{250.0};

} // namespace

watcher_fallback::watcher_fallback(boost::asio::io_context& context,
                                   const service_spec& service_defaults,
                                   std::vector<std::string> other_watchers,
                                   std::function<milliseconds()> contents_age,
                                   update_handler on_update)
    : context_(context)
    , service_defaults_(service_defaults)
    , watchers_(std::move(other_watchers))
    , contents_age_(std::move(contents_age))
    , on_update_(std::move(on_update))
    , timer_(context)
{
}

void watcher_fallback::start()
{
    if (!watchers_.empty())
    {
        schedule();
    }
}

void watcher_fallback::record_current()
{
    if (contents_age_() > fallback_age)
    {
        return;
    }
    client_.reset();
    receives_updates_ = false;
}

std::string watcher_fallback::watcher() const
{
    return receives_updates_ ? watchers_[current_] : "";
}

void watcher_fallback::schedule()
{
    timer_.start(check_interval,
                 [this]
                 {
                     check();
                     schedule();
                 });
}

void watcher_fallback::check()
{
    if (client_ == nullptr && contents_age_() > fallback_age)
    {
        subscribe(true);
    }
}

// A status query comes first, because a snapshot is large and useless if the
// other watcher does not reach the store either.
void watcher_fallback::subscribe(bool status_query_only)
{
    is_status_query_ = status_query_only;
    may_subscribe_ = false;
    subscriber_handlers handlers;
    handlers.on_update_ = [this](const registry_update& update)
    {
        return handle_update(update);
    };
    handlers.on_end_ = [this](const std::string& reason)
    {
        handle_end(reason);
    };
    client_ = std::make_unique<registry_subscriber>(
        context_, service_defaults_, std::move(handlers));
    // Without a peer address, so that this VM is not made a standby.
    replication_position position;
    position.status_query_only_ = status_query_only;
    client_->start(watchers_[current_], position);
}

bool watcher_fallback::handle_update(const registry_update& update)
{
    const bool store_reachable = update.contents_age_ <= max_contents_age;
    if (is_status_query_)
    {
        may_subscribe_ = store_reachable;
        return false;
    }
    if (!store_reachable || !on_update_(update))
    {
        return false;
    }
    if (!std::exchange(receives_updates_, true))
    {
        log_event(log_level::info, "watcher_found")
            .field("address", watchers_[current_])
            .field("failure_domain", update.failure_domain_)
            .field("revision", update.store_revision_)
            .write();
    }
    return true;
}

void watcher_fallback::handle_end(const std::string& reason)
{
    if (std::exchange(receives_updates_, false))
    {
        log_event(log_level::warning, "watcher_lost")
            .field("address", watchers_[current_])
            .field("reason", reason)
            .write();
    }
    if (may_subscribe_)
    {
        subscribe(false);
        return;
    }
    current_ = (current_ + 1) % watchers_.size();
    client_.reset();
}

} // namespace anvilturn
