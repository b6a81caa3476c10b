#include <av_feed/store_replica.hpp>

#include <av_core/monotonic_clock.hpp>
#include <av_feed/target_log.hpp>

#include <algorithm>
#include <utility>

namespace anvilturn
{

store_replica::store_replica(boost::asio::io_context& context,
                             registry_publisher& publisher,
                             registry_handlers handlers,
                             milliseconds target_heartbeat_interval)
    : publisher_(publisher)
    , handlers_(std::move(handlers))
    , expiry_timer_(context)
{
    registry_.min_expiring_outage_ =
        min_expiring_outage(target_heartbeat_interval);
}

void store_replica::follow_evacuations()
{
    follows_evacuations_ = true;
}

void store_replica::start_publishing()
{
    if (std::exchange(publishes_, true))
    {
        return;
    }
    if (evacuated_domains_)
    {
        publisher_.publish_evacuations(*evacuated_domains_);
    }
    if (release_ == nullptr)
    {
        return;
    }
    publisher_.publish_release(release_);
    publish_to_subscribers();
}

void store_replica::record_answer(milliseconds answered_at)
{
    record_store_answer(registry_, answered_at);
}

void store_replica::record_revision(store_revision revision)
{
    if (has_targets_ && revision > revision_)
    {
        revision_ = revision;
        publish_to_subscribers();
    }
}

void store_replica::apply_release(std::shared_ptr<const release> value)
{
    if (value->version_ <= version())
    {
        return;
    }
    release_ = std::move(value);
    release_at_ = monotonic_now();
    if (publishes_)
    {
        publisher_.publish_release(release_);
    }
    handlers_.on_release_(release_);
}

void store_replica::apply_listing(const std::vector<listed_target>& objects,
                                  store_revision revision)
{
    anvilturn::apply_listing(registry_, objects, monotonic_now());
    revision_ = std::max(revision_, revision);
    publish_contents();
}

void store_replica::apply_changes(const std::vector<target_change>& changes,
                                  store_revision revision)
{
    anvilturn::apply_changes(registry_, changes, monotonic_now());
    revision_ = std::max(revision_, revision);
    publish_contents();
}

void store_replica::apply_evacuation_listing(
    const std::vector<listed_object<evacuation_spec>>& objects,
    store_revision revision)
{
    apply_evacuations(domains_listed(objects), revision);
}

void store_replica::apply_evacuation_changes(
    const std::vector<object_change<evacuation_spec>>& changes,
    store_revision revision)
{
    apply_evacuations(domains_after_changes(
                          evacuated_domains_.value_or(domain_set()), changes),
                      revision);
}

void store_replica::apply_evacuations(domain_set domains,
                                      store_revision revision)
{
    if (evacuated_domains_ == domains)
    {
        return;
    }
    const bool was_known = evacuated_domains_.has_value();
    log_evacuation_changes(
        evacuated_domains_.value_or(domain_set()), domains, revision);
    evacuated_domains_ = std::move(domains);
    if (publishes_)
    {
        publisher_.publish_evacuations(*evacuated_domains_);
    }
    handlers_.on_evacuations_(*evacuated_domains_);
    if (!was_known && has_targets_)
    {
        publish_to_handlers();
    }
}

void store_replica::apply_update(const registry_update& update)
{
    if (follows_evacuations_ && update.evacuated_domains_)
    {
        apply_evacuations(*update.evacuated_domains_, update.store_revision_);
    }
    if (update.release_)
    {
        apply_release(update.release_);
    }
    if (update.is_snapshot_)
    {
        apply_snapshot(registry_, update.changes_, monotonic_now());
        revision_ = std::max(revision_, update.store_revision_);
        publish_contents();
    }
    else if (!update.changes_.empty())
    {
        apply_changes(update.changes_, update.store_revision_);
    }
    else
    {
        record_revision(update.store_revision_);
    }
}

release_version store_replica::version() const
{
    return release_ == nullptr ? 0 : release_->version_;
}

store_revision store_replica::revision() const
{
    return revision_;
}

void store_replica::describe(registry_state& state) const
{
    state.version_ = version();
    state.release_at_ = release_at_;
    state.targets_ = registry_.entries_.size();
    state.targets_at_ = targets_at_;
    state.evacuated_domains_ = evacuated_domains_;
}

void store_replica::publish_contents()
{
    has_targets_ = true;
    publish_to_subscribers();
    publish_to_handlers();
    schedule_expiry();
}

void store_replica::publish_to_subscribers()
{
    if (publishes_)
    {
        publisher_.publish_targets(registry_.entries_, revision_);
    }
}

void store_replica::publish_to_handlers()
{
    if (follows_evacuations_ && !evacuated_domains_)
    {
        return;
    }
    auto targets = registered_targets(registry_);
    log_target_changes(published_, targets, revision_);
    published_ = std::move(targets);
    targets_at_ = monotonic_now();
    handlers_.on_targets_(published_);
}

// Schedules the removal of entries when they expire. Entries that return before
// then are kept.
void store_replica::schedule_expiry()
{
    const auto at = next_expiry(registry_);
    if (!at)
    {
        return;
    }
    expiry_timer_.start(std::max(milliseconds(0.0), *at - monotonic_now()),
                        [this]
                        {
                            remove_expired(registry_, monotonic_now());
                            publish_contents();
                        });
}

} // namespace anvilturn
