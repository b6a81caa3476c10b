#include <av_feed/registry_control.hpp>

#include <av_core/log_event.hpp>
#include <av_core/monotonic_clock.hpp>
#include <av_feed/collection_feed.hpp>
#include <av_registry/target_registry.hpp>

#include <algorithm>
#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;

// How often the store is asked for a sign of life, so that a watch which waits
// on a store that has gone silent is given up soon. It is a cheap call.
constexpr milliseconds check_period{1500.0};

} // namespace

class registry_control::implementation
{
public:
    implementation(asio::io_context& context,
                   store_calls calls,
                   registry_handlers handlers)
        : calls_(std::move(calls))
        , handlers_(std::move(handlers))
        , check_timer_(context)
        , drop_timer_(context)
        , releases_(context, "releases", calls_.releases_, release_observer())
        , targets_(context, "targets", calls_.targets_, target_observer())
    {
    }

    void start()
    {
        releases_.start();
        targets_.start();
        check_later();
    }

    registry_state state() const
    {
        auto result = state_;
        result.store_answers_ = store_answers_;
        result.targets_ = registry_.entries_.size();
        result.calls_ = calls_.counts_();
        return result;
    }

private:
    collection_observer<release> release_observer()
    {
        collection_observer<release> observer;
        observer.on_listing_ =
            [this](const std::vector<listed_object<release>>& objects)
        {
            note_answer();
            for (const auto& object : objects)
            {
                take_release(object);
            }
        };
        observer.on_changes_ =
            [this](const std::vector<object_change<release>>& changes)
        {
            note_answer();
            for (const auto& change : changes)
            {
                if (!change.removed_)
                {
                    take_release(change.object_);
                }
            }
        };
        observer.on_recovery_ = []
        {
        };
        return observer;
    }

    collection_observer<target_spec> target_observer()
    {
        collection_observer<target_spec> observer;
        observer.on_listing_ = [this](const std::vector<listed_target>& objects)
        {
            note_answer();
            take_listing(registry_, objects, monotonic_now());
            publish_targets();
        };
        observer.on_changes_ = [this](const std::vector<target_change>& changes)
        {
            note_answer();
            take_changes(registry_, changes, monotonic_now());
            publish_targets();
        };
        observer.on_recovery_ = [this]
        {
            note_recovery(registry_, monotonic_now());
        };
        return observer;
    }

    void note_answer()
    {
        state_.answered_at_ = monotonic_now();
    }

    // A release that can't be read leaves the last one in force.
    void take_release(const listed_object<release>& object)
    {
        if (object.name_ != calls_.release_name_ || !object.value_ ||
            object.value_->version_ <= state_.version_)
        {
            return;
        }
        state_.version_ = object.value_->version_;
        state_.release_at_ = monotonic_now();
        handlers_.on_release_(std::make_shared<const release>(*object.value_));
    }

    void publish_targets()
    {
        auto targets = registered_targets(registry_);
        log_differences(targets);
        published_ = std::move(targets);
        state_.targets_at_ = monotonic_now();
        handlers_.on_targets_(published_);
        drop_later();
    }

    void log_differences(const std::map<std::string, target_spec>& targets) const
    {
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

    static void log_target(std::string_view event, const target_spec& target)
    {
        log_event(log_level::info, event)
            .field("target", target.name_)
            .field("service", target.service_)
            .field("address", target.address_)
            .field("failure_domain", target.failure_domain_)
            .field("draining", target.draining_)
            .field("incarnation", target.incarnation_)
            .write();
    }

    void drop_later()
    {
        const auto at = next_drop(registry_);
        if (!at)
        {
            return;
        }
        drop_timer_.expires_after(
            to_duration(std::max(milliseconds(0.0), *at - monotonic_now())));
        drop_timer_.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                {
                    drop_lapsed(registry_, monotonic_now());
                    publish_targets();
                }
            });
    }

    void check_later()
    {
        check_timer_.expires_after(to_duration(check_period));
        check_timer_.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                {
                    check();
                }
            });
    }

    void check()
    {
        calls_.check_(
            [this](const absl::Status& status)
            {
                take_check(status.ok());
                check_later();
            });
    }

    void take_check(bool answers)
    {
        const bool answered = std::exchange(store_answers_, answers);
        if (answers)
        {
            note_answer();
        }
        if (answered && !answers)
        {
            releases_.interrupt();
            targets_.interrupt();
        }
        else if (!answered && answers)
        {
            releases_.retry_now();
            targets_.retry_now();
        }
    }

    store_calls calls_;
    registry_handlers handlers_;
    asio::steady_timer check_timer_;
    asio::steady_timer drop_timer_;
    registry_state state_;
    target_registry registry_;
    std::map<std::string, target_spec> published_;
    bool store_answers_ = true;
    collection_feed<release> releases_;
    collection_feed<target_spec> targets_;
};

registry_control::registry_control(asio::io_context& context,
                                   store_calls calls,
                                   registry_handlers handlers)
    : implementation_(std::make_unique<implementation>(
          context, std::move(calls), std::move(handlers)))
{
}

registry_control::~registry_control() = default;

void registry_control::start()
{
    implementation_->start();
}

registry_state registry_control::state() const
{
    return implementation_->state();
}

} // namespace anvilturn
