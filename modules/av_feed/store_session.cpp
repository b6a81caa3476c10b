#include <av_feed/store_session.hpp>

#include <av_core/log_event.hpp>
#include <av_core/monotonic_clock.hpp>
#include <av_feed/collection_feed.hpp>
#include <av_feed/retry_backoff.hpp>

#include <random>
#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;

} // namespace

class store_session::implementation
{
public:
    implementation(asio::io_context& context,
                   store_calls calls,
                   store_observer observer,
                   const store_call_intervals& intervals)
        : calls_(std::move(calls))
        , observer_(std::move(observer))
        , intervals_(intervals)
        , random_(std::random_device()())
        , timer_(context)
        , releases_(context, "releases", calls_.releases_, release_observer())
        , targets_(context, "targets", calls_.targets_, target_observer())
    {
    }

    void start()
    {
        if (running_)
        {
            return;
        }
        running_ = true;
        start_feeds();
    }

    void start_with_check()
    {
        if (running_)
        {
            return;
        }
        running_ = true;
        failures_ = 0;
        store_unreachable_ = true;
        ++generation_;
        check();
    }

    void stop()
    {
        running_ = false;
        ++generation_;
        timer_.cancel();
        releases_.stop();
        targets_.stop();
    }

    void set_intervals(const store_call_intervals& intervals)
    {
        intervals_ = intervals;
    }

    bool is_running() const
    {
        return running_;
    }

    milliseconds answered_at() const
    {
        return answered_at_;
    }

    bool is_synced() const
    {
        return releases_.is_listed() && targets_.is_listed();
    }

    store_revision target_revision() const
    {
        return targets_.revision();
    }

    store_call_counts counts() const
    {
        return calls_.counts_();
    }

private:
    collection_observer<release> release_observer()
    {
        collection_observer<release> observer;
        observer.on_listing_ =
            [this](const std::vector<listed_object<release>>& objects)
        {
            record_response();
            observer_.on_releases_(objects);
        };
        observer.on_changes_ =
            [this](const std::vector<object_change<release>>& changes)
        {
            record_response();
            std::vector<listed_object<release>> objects;
            for (const auto& change : changes)
            {
                if (!change.removed_)
                {
                    objects.push_back(change.object_);
                }
            }
            observer_.on_releases_(objects);
        };
        observer.on_failure_ = [this](const absl::Status& status)
        {
            fail(status);
        };
        return observer;
    }

    collection_observer<target_spec> target_observer()
    {
        collection_observer<target_spec> observer;
        observer.on_listing_ =
            [this](const std::vector<listed_object<target_spec>>& objects)
        {
            record_response();
            observer_.on_target_listing_(objects);
        };
        observer.on_changes_ =
            [this](const std::vector<object_change<target_spec>>& changes)
        {
            record_response();
            observer_.on_target_changes_(changes);
        };
        observer.on_failure_ = [this](const absl::Status& status)
        {
            fail(status);
        };
        return observer;
    }

    // Lists both collections, even if they were listed before, and watches
    // them.
    void start_feeds()
    {
        releases_.start();
        targets_.start();
        schedule_check(intervals_.check_interval_);
    }

    void record_response()
    {
        record_answer();
        if (std::exchange(store_unreachable_, false))
        {
            log_event(log_level::info, "store_regained")
                .field("failures", failures_)
                .write();
        }
        if (is_synced())
        {
            failures_ = 0;
        }
    }

    void record_answer()
    {
        answered_at_ = monotonic_now();
        observer_.on_answer_();
    }

    void fail(const absl::Status& status)
    {
        releases_.stop();
        targets_.stop();
        store_unreachable_ = true;
        if (failures_++ == 0)
        {
            log_event(log_level::warning, "store_lost")
                .field("answered_ago_ms",
                       (monotonic_now() - answered_at_).count())
                .field("error", status)
                .write();
        }
        std::uniform_real_distribution<double> random(0.0, 1.0);
        schedule_check(retry_backoff(failures_,
                                     intervals_.initial_backoff_,
                                     intervals_.max_backoff_,
                                     random(random_)));
    }

    void schedule_check(milliseconds delay)
    {
        const auto generation = ++generation_;
        timer_.expires_after(to_duration(delay));
        timer_.async_wait(
            [this, generation](const boost::system::error_code& error)
            {
                if (!error && generation == generation_)
                {
                    check();
                }
            });
    }

    // Checks whether the store answers. While both collections are watched, the
    // check also looks for changes that a watch has missed, in each collection
    // in turn.
    void check()
    {
        const auto done =
            [this, generation = generation_](const absl::Status& status)
        {
            if (generation == generation_)
            {
                handle_check_result(status);
            }
        };
        const auto timeout = check_timeout(failures_);
        if (store_unreachable_ || !is_synced())
        {
            calls_.check_(timeout, done);
            return;
        }
        last_check_was_targets_ = !last_check_was_targets_;
        if (last_check_was_targets_)
        {
            targets_.check(timeout, done);
        }
        else
        {
            releases_.check(timeout, done);
        }
    }

    void handle_check_result(const absl::Status& status)
    {
        if (!status.ok())
        {
            fail(status);
            return;
        }
        record_answer();
        if (!store_unreachable_)
        {
            schedule_check(intervals_.check_interval_);
            return;
        }
        if (failures_ == 0)
        {
            start_feeds();
            return;
        }
        schedule_feeds();
    }

    // Lists the collections after a delay. All VMs detect the end of an outage
    // at about the same time, and most get a watcher within the delay and then
    // need no listing.
    void schedule_feeds()
    {
        const auto generation = ++generation_;
        timer_.expires_after(to_duration(intervals_.relisting_delay_));
        timer_.async_wait(
            [this, generation](const boost::system::error_code& error)
            {
                if (!error && generation == generation_)
                {
                    start_feeds();
                }
            });
    }

    store_calls calls_;
    store_observer observer_;
    store_call_intervals intervals_;
    std::minstd_rand random_;
    asio::steady_timer timer_;
    collection_feed<release> releases_;
    collection_feed<target_spec> targets_;
    milliseconds answered_at_;
    int generation_ = 0;
    int failures_ = 0;
    bool running_ = false;
    bool store_unreachable_ = false;
    // Whether the last check was for changes of the targets.
    bool last_check_was_targets_ = false;
};

store_session::store_session(asio::io_context& context,
                             store_calls calls,
                             store_observer observer,
                             const store_call_intervals& intervals)
    : implementation_(std::make_unique<implementation>(
          context, std::move(calls), std::move(observer), intervals))
{
}

store_session::~store_session() = default;

void store_session::start()
{
    implementation_->start();
}

void store_session::start_with_check()
{
    implementation_->start_with_check();
}

void store_session::stop()
{
    implementation_->stop();
}

void store_session::set_intervals(const store_call_intervals& intervals)
{
    implementation_->set_intervals(intervals);
}

bool store_session::is_running() const
{
    return implementation_->is_running();
}

milliseconds store_session::answered_at() const
{
    return implementation_->answered_at();
}

bool store_session::is_synced() const
{
    return implementation_->is_synced();
}

store_revision store_session::target_revision() const
{
    return implementation_->target_revision();
}

store_call_counts store_session::counts() const
{
    return implementation_->counts();
}

} // namespace anvilturn
