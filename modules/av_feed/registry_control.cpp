#include <av_feed/registry_control.hpp>

#include <av_core/log_event.hpp>
#include <av_core/monotonic_clock.hpp>
#include <av_feed/replica_observer.hpp>
#include <av_feed/store_replica.hpp>
#include <av_feed/store_session.hpp>
#include <av_feed/watcher_fallback.hpp>
#include <av_net/duration.hpp>
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
// has another source of changes only once the store has not answered it for a
// while; see watcher_fallback.
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
// Time without updates from a watcher after which a VM reads the store itself.
// It is longer at startup, when the watchers may be starting too.
constexpr milliseconds store_fallback_delay_at_startup{1500.0};
constexpr milliseconds store_fallback_delay{300.0};
// A VM that starts waits up to this long in all while a snapshot from a watcher
// is arriving. If many VMs start at once, the snapshots fill the watchers'
// links for a while, and listings for each VM would fill the store's.
constexpr milliseconds max_snapshot_wait_at_startup{6000.0};
// A standby asks the store once the store's last answer to its watcher is this
// old, so that it has the store's contents when other VMs leave the watcher.
constexpr milliseconds standby_takeover_age{700.0};
// How often a VM without a watcher searches for one. It searches more often at
// startup, when the watchers may become available a little later.
constexpr milliseconds watcher_search_interval{500.0};
constexpr milliseconds watcher_search_interval_at_startup{50.0};

// Returns the watchers besides this VM.
std::vector<std::string> other_watchers(const registry_options& options)
{
    auto others = options.watchers_;
    others.erase(
        std::remove(others.begin(), others.end(), options.peer_address_),
        others.end());
    return others;
}

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
        , follows_evacuations_(calls.evacuations_.list_ != nullptr)
        , watchers_(
              make_watcher_records(options_.watchers_, options_.peer_address_))
        , is_watcher_(watchers_.empty())
        , random_(std::random_device()())
        , watcher_search_timer_(context)
        , store_fallback_timer_(context)
        , server_(context,
                  options_.failure_domain_,
                  is_watcher_,
                  [this]
                  {
                      // Watchers must not follow one that follows another
                      // watcher: they could follow each other in a circle.
                      return monotonic_now() - (is_watcher_
                                                    ? store_.answered_at()
                                                    : answered_at());
                  })
        , replica_(context,
                   server_,
                   std::move(handlers),
                   options_.target_heartbeat_interval_)
        , store_(context,
                 std::move(calls),
                 observer(),
                 is_watcher_ ? watcher_call_intervals
                             : subscriber_call_intervals)
        , fallback_(
              context,
              options_.service_defaults_,
              is_watcher_ ? other_watchers(options_)
                          : std::vector<std::string>(),
              [this]
              {
                  return monotonic_now() - store_.answered_at();
              },
              [this](const registry_update& update)
              {
                  return apply_fallback_update(update);
              })
    {
        if (follows_evacuations_)
        {
            server_.require_evacuations();
            replica_.follow_evacuations();
        }
        if (is_watcher_)
        {
            server_.set_relayed_response_age(
                [this]
                {
                    return monotonic_now() - answered_at();
                });
            replica_.start_publishing();
        }
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
            fallback_.start();
            return absl::OkStatus();
        }
        schedule_store_fallback(store_fallback_delay_at_startup);
        subscribe_to_watcher();
        return absl::OkStatus();
    }

    registry_state state() const
    {
        registry_state result;
        result.answered_at_ = answered_at();
        result.watcher_losses_ = watcher_losses_;
        replica_.describe(result);
        result.subscribers_ = server_.subscribers();
        result.calls_ = store_.counts();
        result.watcher_ = receives_updates() ? watchers_[*watcher_].address_
                                             : fallback_.watcher();
        return result;
    }

private:
    store_observer observer()
    {
        auto result = replica_observer(replica_, store_, release_name_);
        result.on_target_listing_ =
            [this, apply = std::move(result.on_target_listing_)](
                const std::vector<listed_target>& objects)
        {
            // Changes from a watcher can't be applied to this listing, only to
            // a snapshot from the same watcher.
            position_ = {};
            needs_snapshot_ = true;
            apply(objects);
        };
        result.on_answer_ = [this, record = std::move(result.on_answer_)]
        {
            fallback_.record_answer();
            record();
        };
        return result;
    }

    milliseconds answered_at() const
    {
        return std::max(watcher_answered_at_, store_.answered_at());
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
        evacuations_named_ = false;
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
            age_for_subscribers(update) <= max_store_response_age;
        watcher.failure_domain_ = update.failure_domain_;
        record_watcher_status(watcher, store_reachable, is_status_query_, now);
        if (is_status_query_)
        {
            end_cause_ = subscription_end_cause::abandoned;
            return false;
        }
        prepare_takeover(age_for_subscribers(update));
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

    // Returns whether the update applies to what this VM has, and the
    // subscription is worth keeping. Sets why it ends otherwise.
    bool can_apply(const registry_update& update, milliseconds now)
    {
        if (needs_snapshot_ && !update.is_snapshot_)
        {
            end_cause_ = subscription_end_cause::abandoned;
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
        if (has_better_watcher(
                watchers_, *watcher_, options_.failure_domain_, now))
        {
            record_update_loss("a better watcher is available", now);
            end_cause_ = subscription_end_cause::abandoned;
            return false;
        }
        return true;
    }

    // Relies on the watcher from now on, and no longer on the store.
    void begin_receiving(const registry_update& update)
    {
        if (std::exchange(receives_updates_, true))
        {
            return;
        }
        last_watcher_ = watcher_;
        store_fallback_timer_.cancel();
        store_.stop();
        log_event(log_level::info, "watcher_found")
            .field("address", watchers_[*watcher_].address_)
            .field("failure_domain", update.failure_domain_)
            .field("revision", update.store_revision_)
            .write();
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
        if (is_standby)
        {
            // It goes on when it is no standby any more, since it may have
            // subscribers still.
            replica_.start_publishing();
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
                          !update.changes_.empty() || update.release_ ||
                          update.evacuated_domains_;
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

    void apply(const registry_update& update,
               milliseconds response_age,
               milliseconds now)
    {
        watcher_answered_at_ = now - update.transfer_time_ - response_age;
        replica_.record_answer(watcher_answered_at_);
        needs_snapshot_ = needs_snapshot_ && !update.is_snapshot_;
        position_.epoch_ = update.epoch_;
        position_.sequence_ = update.sequence_;
        replica_.apply_update(update);
        position_.release_version_ = replica_.version();
    }

    bool apply_fallback_update(const registry_update& update)
    {
        const bool lacks_evacuations = follows_evacuations_ &&
                                       update.is_snapshot_ &&
                                       !update.evacuated_domains_;
        if (update.store_revision_ < replica_.revision() ||
            update.release_lacks_accounts_ || lacks_evacuations)
        {
            return false;
        }
        apply(update, update.store_response_age_, monotonic_now());
        return true;
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
        ++watcher_losses_;
        log_event(log_level::warning, "watcher_lost")
            .field("address", watchers_[*watcher_].address_)
            .field("reason", reason)
            .field("store_answered_ago_ms",
                   (now - watcher_answered_at_).count())
            .write();
        schedule_store_fallback(is_standby_ ? milliseconds(0.0)
                                            : store_fallback_delay);
    }

    // Returns whether the first contents of this VM are arriving, and not for
    // too long.
    bool awaits_first_snapshot() const
    {
        return replica_.revision() == 0 && client_ &&
               client_->is_receiving_contents() &&
               monotonic_now() - started_at_ < max_snapshot_wait_at_startup;
    }

    void schedule_store_fallback(milliseconds time)
    {
        store_fallback_timer_.expires_after(to_duration(time));
        store_fallback_timer_.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (error || receives_updates_ || store_.is_running())
                {
                    return;
                }
                if (awaits_first_snapshot())
                {
                    schedule_store_fallback(store_fallback_delay);
                }
                else
                {
                    log_event(log_level::info, "store_followed").write();
                    store_.start_with_check();
                }
            });
    }

    asio::io_context& context_;
    const milliseconds started_at_ = monotonic_now();
    const registry_options options_;
    const std::string release_name_;
    const bool follows_evacuations_;
    std::vector<watcher_record> watchers_;
    const bool is_watcher_;
    // Whether this VM is a standby of its watcher.
    bool is_standby_ = false;
    std::minstd_rand random_;
    asio::steady_timer watcher_search_timer_;
    asio::steady_timer store_fallback_timer_;
    // When the store last answered a watcher, by the watcher's report.
    milliseconds watcher_answered_at_;
    std::uint64_t watcher_losses_ = 0;
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
    subscription_end_cause end_cause_ = subscription_end_cause::failed;
    // Whether this VM lacks the state that the watcher's changes apply to, so
    // that only a snapshot can be used.
    bool needs_snapshot_ = false;
    registry_publisher server_;
    store_replica replica_;
    store_session store_;
    std::unique_ptr<registry_subscriber> client_;
    watcher_fallback fallback_;
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
