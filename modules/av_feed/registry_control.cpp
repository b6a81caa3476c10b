#include <av_feed/registry_control.hpp>

#include <av_core/log_event.hpp>
#include <av_core/monotonic_clock.hpp>
#include <av_feed/store_session.hpp>
#include <av_feed/target_log.hpp>
#include <av_net/duration.hpp>
#include <av_registry/target_registry.hpp>
#include <av_registry/watcher_choice.hpp>
#include <av_replication/registry_publisher.hpp>
#include <av_replication/registry_subscriber.hpp>
#include <av_replication/replication_timing.hpp>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <optional>
#include <random>
#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;

// A watcher checks often, because its subscribers ignore its updates once the
// store's last response is older than max_store_response_age, and because it
// has no other source of changes.
constexpr store_call_intervals watcher_call_intervals{milliseconds(400.0),
                                                      milliseconds(100.0),
                                                      milliseconds(300.0),
                                                      milliseconds(0.0)};
// Other VMs check less often and list later: after an outage the watchers reach
// the store first and publish its contents within the delay, so the calls of
// the others would only add cost.
constexpr store_call_intervals subscriber_call_intervals{milliseconds(1500.0),
                                                         milliseconds(800.0),
                                                         milliseconds(4000.0),
                                                         milliseconds(1200.0)};
// Time without updates from a watcher after which a VM reads the store itself.
// It is longer at startup, when the watchers may be starting too.
constexpr milliseconds store_fallback_delay_at_startup{1500.0};
constexpr milliseconds store_fallback_delay{300.0};
// A standby asks the store once the store's last answer to its watcher is this
// old, so that it has the store's contents when other VMs leave the watcher.
constexpr milliseconds standby_takeover_age{700.0};
// How often a VM without a watcher searches for one. It searches more often at
// startup, when the watchers may become available a little later.
constexpr milliseconds watcher_search_interval{500.0};
constexpr milliseconds watcher_search_interval_at_startup{50.0};

enum class subscription_end_cause
{
    // The watcher is unreachable or sent outdated or malformed data.
    failed,
    // This VM ended the subscription to search for a better watcher or to
    // request a snapshot.
    abandoned
};

} // namespace

class registry_control::implementation
{
public:
    implementation(asio::io_context& context,
                   registry_options options,
                   store_calls calls,
                   registry_handlers handlers)
        : context_(context)
        , options_(std::move(options))
        , release_name_(calls.release_name_)
        , handlers_(std::move(handlers))
        , watchers_(
              make_watcher_records(options_.watchers_, options_.peer_address_))
        , is_watcher_(watchers_.empty())
        , publishes_(is_watcher_)
        , random_(std::random_device()())
        , expiry_timer_(context)
        , watcher_search_timer_(context)
        , store_fallback_timer_(context)
        , store_(context,
                 std::move(calls),
                 observer(),
                 is_watcher_ ? watcher_call_intervals
                             : subscriber_call_intervals)
        , server_(context,
                  options_.failure_domain_,
                  is_watcher_,
                  [this]
                  {
                      return monotonic_now() - answered_at();
                  })
    {
        registry_.min_expiring_outage_ =
            min_expiring_outage(options_.target_heartbeat_interval_);
    }

    absl::Status start()
    {
        if (!options_.peer_address_.empty())
        {
            if (auto status = server_.start(options_.peer_address_);
                !status.ok())
            {
                return status;
            }
        }
        if (is_watcher_)
        {
            store_.start();
            return absl::OkStatus();
        }
        schedule_store_fallback(store_fallback_delay_at_startup);
        subscribe_to_watcher();
        return absl::OkStatus();
    }

    registry_state state() const
    {
        auto result = state_;
        result.answered_at_ = answered_at();
        result.targets_ = registry_.entries_.size();
        result.subscribers_ = server_.subscribers();
        result.calls_ = store_.counts();
        if (receives_updates())
        {
            result.watcher_ = watchers_[*watcher_].address_;
        }
        return result;
    }

private:
    store_observer observer()
    {
        store_observer result;
        result.on_releases_ =
            [this](const std::vector<listed_object<release>>& objects)
        {
            for (const auto& object : objects)
            {
                if (object.name_ == release_name_ && object.value_)
                {
                    apply_release(
                        std::make_shared<const release>(*object.value_));
                }
            }
        };
        result.on_target_listing_ =
            [this](const std::vector<listed_target>& objects)
        {
            apply_listing(registry_, objects, monotonic_now());
            // Changes from a watcher can't be applied to this listing, only to
            // a snapshot from the same watcher.
            position_ = {};
            needs_snapshot_ = true;
            publish_registry(store_.target_revision());
        };
        result.on_target_changes_ =
            [this](const std::vector<target_change>& changes)
        {
            apply_changes(registry_, changes, monotonic_now());
            publish_registry(store_.target_revision());
        };
        result.on_answer_ = [this]
        {
            record_store_answer(registry_, monotonic_now());
        };
        return result;
    }

    void apply_release(std::shared_ptr<const release> value)
    {
        if (value->version_ <= state_.version_)
        {
            return;
        }
        state_.version_ = value->version_;
        state_.release_at_ = monotonic_now();
        release_ = value;
        if (publishes_)
        {
            server_.publish_release(value);
        }
        handlers_.on_release_(std::move(value));
    }

    void publish_registry(store_revision revision)
    {
        revision_ = std::max(revision_, revision);
        if (publishes_)
        {
            server_.publish_targets(registry_.entries_, revision_);
        }
        publish_targets();
        schedule_expiry();
    }

    void publish_targets()
    {
        auto targets = registered_targets(registry_);
        log_target_changes(published_, targets, revision_);
        published_ = std::move(targets);
        state_.targets_at_ = monotonic_now();
        handlers_.on_targets_(published_);
    }

    // Schedules the removal of entries when they expire. Entries that return
    // before then are kept.
    void schedule_expiry()
    {
        const auto at = next_expiry(registry_);
        if (!at)
        {
            return;
        }
        expiry_timer_.expires_after(
            to_duration(std::max(milliseconds(0.0), *at - monotonic_now())));
        expiry_timer_.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                {
                    remove_expired(registry_, monotonic_now());
                    publish_registry(revision_);
                }
            });
    }

    milliseconds answered_at() const
    {
        return std::max(state_.answered_at_, store_.answered_at());
    }

    // Returns whether a watcher sends usable updates to this VM.
    bool receives_updates() const
    {
        return receives_updates_;
    }

    // Subscribes to the best watcher that has not failed recently. If there is
    // none, tries again after the search interval.
    void subscribe_to_watcher()
    {
        watcher_ = choose_watcher(watchers_,
                                  options_.failure_domain_,
                                  preferred_watcher(),
                                  monotonic_now());
        if (!watcher_)
        {
            schedule_watcher_search();
            return;
        }
        subscriber_handlers handlers;
        handlers.on_update_ = [this](const registry_update& update)
        {
            return handle_update(update);
        };
        handlers.on_end_ = [this](const std::string& reason)
        {
            handle_subscription_end(reason);
        };
        client_ = std::make_unique<registry_subscriber>(
            context_, options_.service_defaults_, std::move(handlers));
        const auto& watcher = watchers_[*watcher_];
        is_status_query_ = watchers_.size() > 1 &&
                           needs_status_query(watcher, monotonic_now());
        end_cause_ = subscription_end_cause::failed;
        needs_snapshot_ = false;
        auto position = position_;
        position.status_query_only_ = is_status_query_;
        position.peer_address_ = options_.peer_address_;
        client_->start(watcher.address_, position);
    }

    // Returns the index from which choose_watcher searches among equal
    // watchers. It is that of the last watcher if that one is available but
    // does not reach the store, because it will continue with changes instead
    // of a snapshot. Otherwise it is random, so that VMs spread over the
    // watchers.
    std::size_t preferred_watcher()
    {
        const bool keeps_watcher =
            last_watcher_ && reports_store_unreachable(
                                 watchers_[*last_watcher_], monotonic_now());
        return keeps_watcher ? *last_watcher_ : random_();
    }

    void schedule_watcher_search()
    {
        const bool is_starting = !last_watcher_ && !store_.is_running();
        if (is_starting)
        {
            watchers_ = make_watcher_records(options_.watchers_,
                                             options_.peer_address_);
        }
        watcher_search_timer_.expires_after(
            to_duration(is_starting ? watcher_search_interval_at_startup
                                    : watcher_search_interval));
        watcher_search_timer_.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                {
                    subscribe_to_watcher();
                }
            });
    }

    bool handle_update(const registry_update& update)
    {
        if (update.standbys_)
        {
            apply_standbys(*update.standbys_);
        }
        auto& watcher = watchers_[*watcher_];
        const auto now = monotonic_now();
        const bool store_reachable =
            update.store_response_age_ <= max_store_response_age;
        watcher.failure_domain_ = update.failure_domain_;
        record_watcher_status(watcher, store_reachable, is_status_query_, now);
        if (is_status_query_)
        {
            end_cause_ = subscription_end_cause::abandoned;
            return false;
        }
        prepare_takeover(update.store_response_age_);
        if (!store_reachable)
        {
            return handle_unreachable_store(update, now);
        }
        if (needs_snapshot_ && !update.is_snapshot_)
        {
            end_cause_ = subscription_end_cause::abandoned;
            return false;
        }
        if (update.store_revision_ < revision_)
        {
            return false;
        }
        if (has_better_watcher(
                watchers_, *watcher_, options_.failure_domain_, now))
        {
            record_update_loss("a better watcher is available", now);
            end_cause_ = subscription_end_cause::abandoned;
            return false;
        }
        apply(update, now);
        if (!std::exchange(receives_updates_, true))
        {
            last_watcher_ = watcher_;
            store_fallback_timer_.cancel();
            store_.stop();
            log_event(log_level::info, "watcher_found")
                .field("address", watcher.address_)
                .field("failure_domain", update.failure_domain_)
                .field("revision", update.store_revision_)
                .write();
        }
        return true;
    }

    void apply_standbys(const std::vector<std::string>& standbys)
    {
        const bool is_standby = record_standbys(
            watchers_, standbys, options_.peer_address_, watcher_);
        if (std::exchange(is_standby_, is_standby) == is_standby)
        {
            return;
        }
        // Subscribers depend on how recent its answers are, like a watcher's.
        store_.set_intervals(is_standby ? watcher_call_intervals
                                        : subscriber_call_intervals);
        log_event(log_level::info, "standby_changed")
            .field("standby", is_standby)
            .field("watcher", watchers_[*watcher_].address_)
            .write();
        if (is_standby && !std::exchange(publishes_, true) && release_)
        {
            server_.publish_release(release_);
            server_.publish_targets(registry_.entries_, revision_);
        }
    }

    // On a standby, follows the store while the watcher's answers from it are
    // old.
    void prepare_takeover(milliseconds store_response_age)
    {
        if (!is_standby_)
        {
            return;
        }
        const bool takes_over = store_response_age > standby_takeover_age;
        if (takes_over && !store_.is_running())
        {
            log_event(log_level::info, "standby_takeover")
                .field("store_answered_ago_ms", store_response_age.count())
                .write();
            store_.start_with_check();
        }
        else if (!takes_over && receives_updates_ && store_.is_running())
        {
            store_.stop();
        }
    }

    // Handles an update from a watcher that does not reach the store. Its
    // contents are ignored; if there are any, later changes can't be applied
    // before the next snapshot. Returns whether to keep the subscription.
    bool handle_unreachable_store(const registry_update& update,
                                  milliseconds now)
    {
        needs_snapshot_ = needs_snapshot_ || update.is_snapshot_ ||
                          !update.changes_.empty() || update.release_;
        record_update_loss("the store does not answer the watcher", now);
        // A standby that left would be replaced by another VM, which would have
        // to read the store anew.
        const bool serves_others =
            is_standby_ && now - answered_at() <= max_store_response_age;
        if (serves_others || should_keep_watcher(watchers_, *watcher_, now))
        {
            return true;
        }
        end_cause_ = subscription_end_cause::abandoned;
        return false;
    }

    void apply(const registry_update& update, milliseconds now)
    {
        state_.answered_at_ = now - update.store_response_age_;
        record_store_answer(registry_, state_.answered_at_);
        position_.epoch_ = update.epoch_;
        position_.sequence_ = update.sequence_;
        if (update.release_)
        {
            apply_release(update.release_);
        }
        position_.release_version_ = state_.version_;
        if (update.is_snapshot_)
        {
            needs_snapshot_ = false;
            apply_snapshot(registry_, update.changes_, now);
            publish_registry(update.store_revision_);
        }
        else if (!update.changes_.empty())
        {
            apply_changes(registry_, update.changes_, now);
            publish_registry(update.store_revision_);
        }
        if (update.store_revision_ > revision_)
        {
            revision_ = update.store_revision_;
            if (publishes_)
            {
                server_.publish_targets(registry_.entries_, revision_);
            }
        }
    }

    void handle_subscription_end(const std::string& reason)
    {
        const auto now = monotonic_now();
        if (end_cause_ == subscription_end_cause::failed)
        {
            record_watcher_failure(watchers_[*watcher_], now);
        }
        record_update_loss(reason, now);
        subscribe_to_watcher();
    }

    // Records that this VM no longer gets usable updates, and schedules the
    // fallback to the store.
    void record_update_loss(const std::string& reason, milliseconds now)
    {
        if (!std::exchange(receives_updates_, false))
        {
            return;
        }
        ++state_.watcher_losses_;
        log_event(log_level::warning, "watcher_lost")
            .field("address", watchers_[*watcher_].address_)
            .field("reason", reason)
            .field("store_answered_ago_ms", (now - state_.answered_at_).count())
            .write();
        schedule_store_fallback(is_standby_ ? milliseconds(0.0)
                                            : store_fallback_delay);
    }

    void schedule_store_fallback(milliseconds time)
    {
        store_fallback_timer_.expires_after(to_duration(time));
        store_fallback_timer_.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error && !receives_updates_ && !store_.is_running())
                {
                    log_event(log_level::info, "store_followed").write();
                    store_.start_with_check();
                }
            });
    }

    asio::io_context& context_;
    const registry_options options_;
    const std::string release_name_;
    registry_handlers handlers_;
    std::vector<watcher_record> watchers_;
    const bool is_watcher_;
    // Whether this VM is a standby of its watcher.
    bool is_standby_ = false;
    // Whether contents are kept for subscribers, which takes time and memory
    // with each change: on watchers, and on VMs that were a standby, since they
    // may have subscribers still. Others tell those to look elsewhere.
    bool publishes_;
    std::minstd_rand random_;
    asio::steady_timer expiry_timer_;
    asio::steady_timer watcher_search_timer_;
    asio::steady_timer store_fallback_timer_;
    registry_state state_;
    target_registry registry_;
    std::map<std::string, target_spec> published_;
    // Revision of the store up to which this VM knows the targets.
    store_revision revision_ = 0;
    std::shared_ptr<const release> release_;
    std::optional<std::size_t> watcher_;
    replication_position position_;
    bool receives_updates_ = false;
    std::optional<std::size_t> last_watcher_;
    // Whether the current subscription is a status query only.
    bool is_status_query_ = false;
    // Why the current subscription ends.
    subscription_end_cause end_cause_ = subscription_end_cause::failed;
    // Whether this VM lacks the state that the watcher's changes apply to, so
    // that only a snapshot can be used.
    bool needs_snapshot_ = false;
    store_session store_;
    registry_publisher server_;
    std::unique_ptr<registry_subscriber> client_;
};

registry_control::registry_control(asio::io_context& context,
                                   registry_options options,
                                   store_calls calls,
                                   registry_handlers handlers)
    : implementation_(std::make_unique<implementation>(
          context, std::move(options), std::move(calls), std::move(handlers)))
{
}

registry_control::~registry_control() = default;

absl::Status registry_control::start()
{
    return implementation_->start();
}

registry_state registry_control::state() const
{
    return implementation_->state();
}

} // namespace anvilturn
