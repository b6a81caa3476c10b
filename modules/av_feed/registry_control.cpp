#include <av_feed/registry_control.hpp>

#include <av_core/monotonic_clock.hpp>
#include <av_feed/replica_observer.hpp>
#include <av_feed/store_fallback.hpp>
#include <av_feed/store_replica.hpp>
#include <av_feed/store_session.hpp>
#include <av_feed/watcher_fallback.hpp>
#include <av_feed/watcher_subscription.hpp>
#include <av_registry/watcher_choice.hpp>
#include <av_replication/registry_publisher.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;

// Returns the watchers besides this VM.
std::vector<std::string> other_watchers(const registry_options& options)
{
    auto others = options.watchers_;
    others.erase(
        std::remove(others.begin(), others.end(), options.peer_address_),
        others.end());
    return others;
}

} // namespace

class registry_control::implementation
{
public:
    implementation(asio::io_context& context,
                   registry_options options,
                   store_calls calls,
                   registry_handlers handlers)
        : options_(std::move(options))
        , release_name_(calls.release_name_)
        , follows_evacuations_(calls.evacuations_.list_ != nullptr)
        , is_watcher_(
              make_watcher_records(options_.watchers_, options_.peer_address_)
                  .empty())
        , server_(context,
                  options_.failure_domain_,
                  is_watcher_,
                  [this]
                  {
                      // Watchers must not follow one that follows another
                      // watcher: they could follow each other in a circle.
                      return monotonic_now() -
                             (is_watcher_ ? store_.current_at()
                                          : subscription_.current_at());
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
        , store_fallback_(context,
                          store_,
                          replica_,
                          [this]
                          {
                              return subscription_.is_receiving_contents();
                          })
        , subscription_(context,
                        options_,
                        follows_evacuations_,
                        replica_,
                        store_,
                        store_fallback_)
        , watcher_fallback_(
              context,
              options_.service_defaults_,
              is_watcher_ ? other_watchers(options_)
                          : std::vector<std::string>(),
              [this]
              {
                  return monotonic_now() - store_.current_at();
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
        server_.set_answer_age(
            [this]
            {
                return monotonic_now() - subscription_.answered_at();
            });
        if (is_watcher_)
        {
            server_.set_relayed_contents_age(
                [this]
                {
                    return monotonic_now() - subscription_.current_at();
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
            watcher_fallback_.start();
            return absl::OkStatus();
        }
        store_fallback_.start();
        subscription_.subscribe();
        return absl::OkStatus();
    }

    registry_state state() const
    {
        registry_state result;
        result.answered_at_ = subscription_.answered_at();
        result.current_at_ = subscription_.current_at();
        result.watcher_losses_ = subscription_.losses();
        replica_.describe(result);
        result.subscribers_ = server_.subscribers();
        result.calls_ = store_.counts();
        result.watcher_ = subscription_.receives_updates()
                              ? subscription_.watcher()
                              : watcher_fallback_.watcher();
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
            subscription_.discard_position();
            apply(objects);
        };
        result.on_target_changes_ =
            [this, apply = std::move(result.on_target_changes_)](
                const std::vector<target_change>& changes)
        {
            subscription_.discard_position();
            apply(changes);
        };
        result.on_current_ = [this]
        {
            watcher_fallback_.record_current();
            if (is_watcher_ || store_fallback_.is_standby())
            {
                replica_.record_revision(store_.target_revision());
            }
        };
        return result;
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
        subscription_.apply(update, update.contents_age_, monotonic_now());
        return true;
    }

    const registry_options options_;
    const std::string release_name_;
    const bool follows_evacuations_;
    const bool is_watcher_;
    registry_publisher server_;
    store_replica replica_;
    store_session store_;
    store_fallback store_fallback_;
    watcher_subscription subscription_;
    watcher_fallback watcher_fallback_;
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
