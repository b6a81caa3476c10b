#include <av_feed/registry_control.hpp>

#include <av_core/log_event.hpp>
#include <av_core/monotonic_clock.hpp>
#include <av_feed/store_session.hpp>
#include <av_net/duration.hpp>
#include <av_registry/target_registry.hpp>
#include <av_registry/watcher_choice.hpp>
#include <av_replication/registry_publisher.hpp>
#include <av_replication/registry_subscriber.hpp>
#include <av_replication/replication_timing.hpp>

#include <absl/strings/str_join.h>
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

// Others rely on a watcher's word, which must not be older than
// longest_store_silence, and a watcher has nobody else to hear of changes from.
constexpr store_call_intervals watcher_call_intervals{milliseconds(400.0),
                                                      milliseconds(100.0),
                                                      milliseconds(300.0),
                                                      milliseconds(0.0)};
// The watchers are the first to know when the store is back, and in step again
// within the delay: the calls of all others would only be paid for.
constexpr store_call_intervals subscriber_call_intervals{milliseconds(1500.0),
                                                         milliseconds(800.0),
                                                         milliseconds(4000.0),
                                                         milliseconds(1200.0)};
// Time without a watcher after which a VM follows the store itself; at the
// start the watchers start too.
constexpr milliseconds store_fallback_delay_at_startup{1500.0};
constexpr milliseconds patience{300.0};
// How often a VM that hears no watcher looks for one; at the start, when the
// watchers may come a little later.
constexpr milliseconds watcher_search_interval{500.0};
constexpr milliseconds watcher_search_interval_at_startup{50.0};

enum class subscription_end_cause
{
    // The watcher can't be reached or tells what is out of date.
    failed,
    // This VM looks for a better one, or asks this one anew.
    left
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
        , watchers_(watchers_of(options_.watchers_, options_.peer_address_))
        , random_(std::random_device()())
        , expiry_timer_(context)
        , watcher_search_timer_(context)
        , store_fallback_timer_(context)
        , store_(context,
                 std::move(calls),
                 observer(),
                 watchers_.empty() ? watcher_call_intervals
                                   : subscriber_call_intervals)
        , server_(context,
                  options_.failure_domain_,
                  [this]
                  {
                      return monotonic_now() - answered_at();
                  })
    {
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
        if (watchers_.empty())
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
        if (is_told())
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
                    take_release(
                        std::make_shared<const release>(*object.value_));
                }
            }
        };
        result.on_target_listing_ =
            [this](const std::vector<listed_target>& objects)
        {
            apply_listing(registry_, objects, monotonic_now());
            // What a watcher told before is no base for what changes.
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
        result.on_recovery_ = [this]
        {
            record_store_recovery(registry_, monotonic_now());
        };
        return result;
    }

    void take_release(std::shared_ptr<const release> value)
    {
        if (value->version_ <= state_.version_)
        {
            return;
        }
        state_.version_ = value->version_;
        state_.release_at_ = monotonic_now();
        server_.publish_release(value);
        handlers_.on_release_(std::move(value));
    }

    void publish_registry(store_revision revision)
    {
        revision_ = std::max(revision_, revision);
        server_.publish_targets(registry_.entries_, revision_);
        publish_targets();
        schedule_expiry();
    }

    void publish_targets()
    {
        auto targets = registered_targets(registry_);
        log_differences(targets);
        published_ = std::move(targets);
        state_.targets_at_ = monotonic_now();
        handlers_.on_targets_(published_);
    }

    void
    log_differences(const std::map<std::string, target_spec>& targets) const
    {
        if (published_.empty())
        {
            log_listing(targets);
            return;
        }
        for (const auto& entry : targets)
        {
            const auto known = published_.find(entry.first);
            if (known == published_.end())
            {
                log_target("target_registered", entry.second);
            }
            else if (known->second != entry.second)
            {
                log_target("target_changed", entry.second);
            }
        }
        for (const auto& entry : published_)
        {
            if (targets.count(entry.first) == 0)
            {
                log_target("target_unregistered", entry.second);
            }
        }
    }

    // One line for all that a VM learns at its start, which would crowd other
    // events out of the log.
    void log_listing(const std::map<std::string, target_spec>& targets) const
    {
        std::map<std::string, int> services;
        for (const auto& entry : targets)
        {
            ++services[entry.second.service_];
        }
        log_event(log_level::info, "targets_listed")
            .field("targets", targets.size())
            .field("services",
                   absl::StrJoin(services, ",", absl::PairFormatter(":")))
            .field("revision", revision_)
            .write();
    }

    void log_target(std::string_view event, const target_spec& target) const
    {
        log_event(log_level::info, event)
            .field("target", target.name_)
            .field("service", target.service_)
            .field("address", target.address_)
            .field("failure_domain", target.failure_domain_)
            .field("draining", target.draining_)
            .field("incarnation", target.incarnation_)
            .field("revision", revision_)
            .write();
    }

    // Entries that lapsed are dropped unless they come back.
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

    // Whether a watcher tells this VM what happens.
    bool is_told() const
    {
        return told_;
    }

    // Subscribes to a watcher that was not found wanting lately.
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
        client_->start(watcher.address_, position);
    }

    // A watcher that was heard and is only out of step is kept to, since what
    // it tells next is short; otherwise VMs spread over the watchers.
    std::size_t preferred_watcher()
    {
        const bool keeps = last_watcher_ &&
                           reports_store_unreachable(watchers_[*last_watcher_],
                                                     monotonic_now());
        return keeps ? *last_watcher_ : random_();
    }

    void schedule_watcher_search()
    {
        const bool is_starting = !last_watcher_ && !store_.is_running();
        if (is_starting)
        {
            watchers_ = watchers_of(options_.watchers_, options_.peer_address_);
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
        auto& watcher = watchers_[*watcher_];
        const auto now = monotonic_now();
        const bool in_step =
            update.store_response_age_ <= max_store_response_age;
        watcher.failure_domain_ = update.failure_domain_;
        record_watcher_status(watcher, in_step, is_status_query_, now);
        if (is_status_query_)
        {
            end_cause_ = subscription_end_cause::left;
            return false;
        }
        if (!in_step)
        {
            return handle_unreachable_store(update, now);
        }
        if (needs_snapshot_ && !update.is_snapshot_)
        {
            end_cause_ = subscription_end_cause::left;
            return false;
        }
        if (update.store_revision_ < revision_)
        {
            return false;
        }
        if (has_better_watcher(
                watchers_, *watcher_, options_.failure_domain_, now))
        {
            record_update_loss("a nearer watcher can be asked again", now);
            end_cause_ = subscription_end_cause::left;
            return false;
        }
        apply(update, now);
        if (!std::exchange(told_, true))
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

    // The watcher is there, but the store does not answer it. What it tells
    // meanwhile is left, so that a later change has no base here. Returns
    // whether to hear it further.
    bool handle_unreachable_store(const registry_update& update,
                                  milliseconds now)
    {
        needs_snapshot_ = needs_snapshot_ || update.is_snapshot_ ||
                          !update.changes_.empty() || update.release_;
        record_update_loss("the store does not answer it", now);
        if (should_keep_watcher(watchers_, *watcher_, now))
        {
            return true;
        }
        end_cause_ = subscription_end_cause::left;
        return false;
    }

    void apply(const registry_update& update, milliseconds now)
    {
        state_.answered_at_ = now - update.store_response_age_;
        position_.epoch_ = update.epoch_;
        position_.sequence_ = update.sequence_;
        if (update.release_)
        {
            take_release(update.release_);
        }
        position_.release_version_ = state_.version_;
        if (update.is_snapshot_)
        {
            needs_snapshot_ = false;
            apply_snapshot(registry_, update.changes_);
            publish_registry(update.store_revision_);
        }
        else if (!update.changes_.empty())
        {
            apply_changes(registry_, update.changes_, now);
            publish_registry(update.store_revision_);
        }
        revision_ = std::max(revision_, update.store_revision_);
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

    // This VM is told nothing new from now on.
    void record_update_loss(const std::string& reason, milliseconds now)
    {
        if (!std::exchange(told_, false))
        {
            return;
        }
        ++state_.watcher_losses_;
        log_event(log_level::warning, "watcher_lost")
            .field("address", watchers_[*watcher_].address_)
            .field("reason", reason)
            .field("store_answered_ago_ms", (now - state_.answered_at_).count())
            .write();
        schedule_store_fallback(patience);
    }

    void schedule_store_fallback(milliseconds time)
    {
        store_fallback_timer_.expires_after(to_duration(time));
        store_fallback_timer_.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error && !told_)
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
    std::minstd_rand random_;
    asio::steady_timer expiry_timer_;
    asio::steady_timer watcher_search_timer_;
    asio::steady_timer store_fallback_timer_;
    registry_state state_;
    target_registry registry_;
    std::map<std::string, target_spec> published_;
    // Of the store, up to which the targets are known here.
    store_revision revision_ = 0;
    std::optional<std::size_t> watcher_;
    replication_position position_;
    bool told_ = false;
    std::optional<std::size_t> last_watcher_;
    // Whether the subscription only asks where the watcher stands.
    bool is_status_query_ = false;
    // Why this VM ends the subscription, if it does.
    subscription_end_cause end_cause_ = subscription_end_cause::failed;
    // Whether something is missing here of what the changes told follow on.
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
