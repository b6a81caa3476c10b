#include <av_feed/watcher_subscription.hpp>

#include <av_core/log_event.hpp>
#include <av_core/monotonic_clock.hpp>
#include <av_replication/replication_timing.hpp>

#include <algorithm>
#include <utility>

namespace anvilturn
{
namespace
{

// How often a VM without a watcher searches for one. It searches more often at
// startup, when the watchers may become available a little later.
constexpr milliseconds watcher_search_interval{500.0};
constexpr milliseconds watcher_search_interval_at_startup{50.0};

// Returns the age of the contents by which a watcher is judged. One that is
// relayed is older by up to a heartbeat interval than the watcher
// that got it has reported; without this margin subscribers would leave a
// watcher that still follows another one.
milliseconds contact_age(const registry_update& update)
{
    const auto age = age_for_subscribers(update);
    const bool is_relayed = age < update.contents_age_;
    return is_relayed ? std::max(milliseconds(0.0),
                                 age - replication_heartbeat_interval)
                      : age;
}

} // namespace

watcher_subscription::watcher_subscription(boost::asio::io_context& context,
                                           const registry_options& options,
                                           bool follows_evacuations,
                                           store_replica& replica,
                                           const store_session& store,
                                           store_fallback& fallback)
    : context_(context)
    , options_(options)
    , follows_evacuations_(follows_evacuations)
    , replica_(replica)
    , store_(store)
    , fallback_(fallback)
    , watchers_(
          make_watcher_records(options_.watchers_, options_.peer_address_))
    , random_(std::random_device()())
    , search_timer_(context)
{
}

void watcher_subscription::subscribe()
{
    watcher_ = choose_watcher(watchers_,
                              options_.failure_domain_,
                              preferred_watcher(),
                              monotonic_now());
    if (!watcher_)
    {
        schedule_search();
        return;
    }
    start_client();
}

void watcher_subscription::start_client()
{
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
        context_, options_.service_defaults_, std::move(handlers));
    const auto& watcher = watchers_[*watcher_];
    is_status_query_ =
        watchers_.size() > 1 && needs_status_query(watcher, monotonic_now());
    end_cause_ = end_cause::failed;
    needs_snapshot_ = false;
    evacuations_named_ = false;
    auto position = position_;
    position.status_query_only_ = is_status_query_;
    position.peer_address_ = options_.peer_address_;
    client_->start(watcher.address_, position);
}

void watcher_subscription::apply(const registry_update& update,
                                 milliseconds contents_age,
                                 milliseconds now)
{
    const auto composed_at = now - update.transfer_time_;
    watcher_current_at_ = composed_at - contents_age;
    watcher_answered_at_ =
        composed_at - update.answer_age_.value_or(contents_age);
    replica_.record_answer(watcher_answered_at_);
    needs_snapshot_ = needs_snapshot_ && !update.is_snapshot_;
    position_.epoch_ = update.epoch_;
    position_.sequence_ = update.sequence_;
    replica_.apply_update(update);
    position_.release_version_ = replica_.version();
}

void watcher_subscription::discard_position()
{
    position_ = {};
    needs_snapshot_ = true;
}

bool watcher_subscription::receives_updates() const
{
    return receives_updates_;
}

std::string watcher_subscription::watcher() const
{
    return watcher_ ? watchers_[*watcher_].address_ : std::string();
}

milliseconds watcher_subscription::answered_at() const
{
    return std::max(watcher_answered_at_, store_.answered_at());
}

milliseconds watcher_subscription::current_at() const
{
    return std::max(watcher_current_at_, store_.current_at());
}

std::uint64_t watcher_subscription::losses() const
{
    return losses_;
}

bool watcher_subscription::is_receiving_contents() const
{
    return client_ && client_->is_receiving_contents();
}

// Returns the index from which choose_watcher searches among equal watchers. It
// is that of the last watcher if that one is available but does not reach the
// store, because it will continue with changes instead of a snapshot. Otherwise
// it is random, so that VMs spread over the watchers.
std::size_t watcher_subscription::preferred_watcher()
{
    const bool keeps_watcher =
        last_watcher_ &&
        reports_store_unreachable(watchers_[*last_watcher_], monotonic_now());
    return keeps_watcher ? *last_watcher_ : random_();
}

void watcher_subscription::schedule_search()
{
    const bool is_starting = !last_watcher_ && !store_.is_running();
    if (is_starting)
    {
        watchers_ =
            make_watcher_records(options_.watchers_, options_.peer_address_);
    }
    search_timer_.start(is_starting ? watcher_search_interval_at_startup
                                    : watcher_search_interval,
                        [this]
                        {
                            subscribe();
                        });
}

bool watcher_subscription::handle_update(const registry_update& update)
{
    if (update.standbys_)
    {
        const bool is_standby = record_standbys(
            watchers_, *update.standbys_, options_.peer_address_, watcher_);
        fallback_.set_standby(is_standby, watchers_[*watcher_].address_);
    }
    auto& watcher = watchers_[*watcher_];
    const auto now = monotonic_now();
    const auto age = contact_age(update);
    const bool store_reachable = age <= max_contents_age;
    watcher.failure_domain_ = update.failure_domain_;
    record_watcher_status(watcher, store_reachable, is_status_query_, now);
    if (is_status_query_)
    {
        end_cause_ = end_cause::abandoned;
        return false;
    }
    fallback_.prepare_takeover(age);
    if (!store_reachable)
    {
        return handle_unreachable_store(update, now);
    }
    if (!can_apply(update, now))
    {
        return false;
    }
    apply(update, age_for_subscribers(update), now);
    begin_receiving(update);
    return true;
}

// Returns whether the update applies to what this VM has, and the subscription
// is worth keeping. Sets why it ends otherwise.
bool watcher_subscription::can_apply(const registry_update& update,
                                     milliseconds now)
{
    if (needs_snapshot_ && !update.is_snapshot_)
    {
        end_cause_ = end_cause::abandoned;
        return false;
    }
    if (update.store_revision_ < replica_.revision())
    {
        return false;
    }
    // A watcher can't be relied on if it leaves out accounts, as its
    // subscribers would accept calls without a key, or evacuations.
    if (update.release_lacks_accounts_)
    {
        return false;
    }
    evacuations_named_ = evacuations_named_ || update.evacuated_domains_;
    if (follows_evacuations_ && !evacuations_named_)
    {
        return false;
    }
    if (has_better_watcher(watchers_, *watcher_, options_.failure_domain_, now))
    {
        record_update_loss("a better watcher is available", now);
        end_cause_ = end_cause::abandoned;
        return false;
    }
    return true;
}

// Relies on the watcher from now on, and no longer on the store.
void watcher_subscription::begin_receiving(const registry_update& update)
{
    if (std::exchange(receives_updates_, true))
    {
        return;
    }
    last_watcher_ = watcher_;
    fallback_.record_updates();
    log_event(log_level::info, "watcher_found")
        .field("address", watchers_[*watcher_].address_)
        .field("failure_domain", update.failure_domain_)
        .field("revision", update.store_revision_)
        .write();
}

// Handles an update from a watcher that does not reach the store. Its contents
// are ignored; if there are any, later changes can't be applied before the next
// snapshot. Returns whether to keep the subscription.
bool watcher_subscription::handle_unreachable_store(
    const registry_update& update, milliseconds now)
{
    needs_snapshot_ = needs_snapshot_ || update.is_snapshot_ ||
                      !update.changes_.empty() || update.release_ ||
                      update.evacuated_domains_;
    record_update_loss("the store does not answer the watcher", now);
    // A standby that left would be replaced by another VM, which would have
    // to read the store anew.
    const bool serves_others =
        fallback_.is_standby() && now - current_at() <= max_contents_age;
    if (serves_others || should_keep_watcher(watchers_, *watcher_, now))
    {
        return true;
    }
    end_cause_ = end_cause::abandoned;
    return false;
}

void watcher_subscription::handle_end(const std::string& reason)
{
    const auto now = monotonic_now();
    if (end_cause_ == end_cause::failed)
    {
        record_watcher_failure(watchers_[*watcher_], now);
    }
    record_update_loss(reason, now);
    subscribe();
}

// Records that this VM no longer gets usable updates, and schedules the
// fallback to the store.
void watcher_subscription::record_update_loss(const std::string& reason,
                                              milliseconds now)
{
    if (!std::exchange(receives_updates_, false))
    {
        return;
    }
    ++losses_;
    log_event(log_level::warning, "watcher_lost")
        .field("address", watchers_[*watcher_].address_)
        .field("reason", reason)
        .field("store_answered_ago_ms", (now - watcher_answered_at_).count())
        .field("contents_age_ms", (now - watcher_current_at_).count())
        .write();
    fallback_.record_update_loss();
}

} // namespace anvilturn
