#include <av_feed/store_session.hpp>

#include <av_core/log_event.hpp>
#include <av_core/monotonic_clock.hpp>
#include <av_feed/collection_feed.hpp>
#include <av_feed/retry_backoff.hpp>

#include <algorithm>
#include <memory>
#include <optional>
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
    // The calls of a check that are awaited, and the first error of the others.
    struct check_results
    {
        int awaited_ = 0;
        absl::Status status_;
    };

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
        if (calls_.evacuations_.list_)
        {
            evacuations_.emplace(context,
                                 "evacuations",
                                 calls_.evacuations_,
                                 evacuation_observer());
        }
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
        ++run_;
        timer_.cancel();
        stop_feeds();
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

    milliseconds current_at() const
    {
        const auto at = std::min(releases_.current_at(), targets_.current_at());
        return evacuations_ ? std::min(at, evacuations_->current_at()) : at;
    }

    bool is_synced() const
    {
        return releases_.is_listed() && targets_.is_listed() &&
               (!evacuations_ || evacuations_->is_listed());
    }

    store_revision target_revision() const
    {
        return targets_.revision();
    }

    store_revision evacuation_revision() const
    {
        return evacuations_ ? evacuations_->revision() : 0;
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
            report_current();
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
            report_current();
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
            report_current();
        };
        observer.on_changes_ =
            [this](const std::vector<object_change<target_spec>>& changes)
        {
            record_response();
            observer_.on_target_changes_(changes);
            report_current();
        };
        observer.on_failure_ = [this](const absl::Status& status)
        {
            fail(status);
        };
        return observer;
    }

    collection_observer<evacuation_spec> evacuation_observer()
    {
        collection_observer<evacuation_spec> observer;
        observer.on_listing_ =
            [this](const std::vector<listed_object<evacuation_spec>>& objects)
        {
            record_response();
            observer_.on_evacuation_listing_(objects);
            report_current();
        };
        observer.on_changes_ =
            [this](const std::vector<object_change<evacuation_spec>>& changes)
        {
            record_response();
            observer_.on_evacuation_changes_(changes);
            report_current();
        };
        observer.on_failure_ = [this](const absl::Status& status)
        {
            fail(status);
        };
        return observer;
    }

    // Lists the collections, even if they were listed before, and watches
    // them.
    void start_feeds()
    {
        repeats_check_ = false;
        releases_.start();
        targets_.start();
        if (evacuations_)
        {
            evacuations_->start();
        }
        schedule_check(intervals_.check_interval_);
    }

    void stop_feeds()
    {
        releases_.stop();
        targets_.stop();
        if (evacuations_)
        {
            evacuations_->stop();
        }
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

    void report_current()
    {
        if (const auto at = current_at(); at > reported_current_at_)
        {
            reported_current_at_ = at;
            observer_.on_current_();
        }
    }

    void fail(const absl::Status& status)
    {
        ++run_;
        repeats_check_ = false;
        stop_feeds();
        store_unreachable_ = true;
        if (failures_++ == 0)
        {
            log_event(log_level::warning, "store_lost")
                .field("answered_ago_ms",
                       (monotonic_now() - answered_at_).count())
                .field("contents_age_ms",
                       (monotonic_now() - current_at()).count())
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

    // Checks whether the store answers and, while all collections are followed,
    // whether the watches have missed changes.
    void check()
    {
        const auto sent_at = monotonic_now();
        const auto generation = generation_;
        if (store_unreachable_)
        {
            calls_.check_(check_timeout(failures_),
                          [this, generation](const absl::Status& status)
                          {
                              if (generation == generation_)
                              {
                                  handle_availability(status);
                              }
                          });
            return;
        }
        calls_.read_revision_(
            check_timeout(failures_),
            [this, generation, sent_at](
                const absl::StatusOr<store_revision>& revision)
            {
                if (generation != generation_)
                {
                    return;
                }
                if (!revision.ok())
                {
                    handle_failed_check(revision.status());
                    return;
                }
                record_answer();
                // The next check does not wait for what this one reads, so that
                // a slow store makes the contents older by one response only.
                const auto elapsed = monotonic_now() - sent_at;
                schedule_check(std::max(milliseconds(0.0),
                                        intervals_.check_interval_ - elapsed));
                catch_up(*revision, sent_at);
            });
    }

    // Brings all collections up to the revision that the store had when the
    // check was sent.
    void catch_up(store_revision revision, milliseconds sent_at)
    {
        const auto results = std::make_shared<check_results>();
        results->awaited_ = evacuations_ ? 3 : 2;
        const auto done =
            [this, results, run = run_](const absl::Status& status)
        {
            results->status_.Update(status);
            if (--results->awaited_ == 0 && run == run_)
            {
                handle_catch_up_result(results->status_);
            }
        };
        const auto timeout = check_timeout(failures_);
        releases_.catch_up(revision, sent_at, timeout, done);
        targets_.catch_up(revision, sent_at, timeout, done);
        if (evacuations_)
        {
            evacuations_->catch_up(revision, sent_at, timeout, done);
        }
    }

    void handle_catch_up_result(const absl::Status& status)
    {
        if (!status.ok())
        {
            handle_failed_check(status);
            return;
        }
        repeats_check_ = false;
        report_current();
    }

    // Handles the result of a check whether the store answers again.
    void handle_availability(const absl::Status& status)
    {
        if (!status.ok())
        {
            fail(status);
            return;
        }
        record_answer();
        if (failures_ == 0)
        {
            start_feeds();
            return;
        }
        schedule_feeds();
    }

    // A connection that went silent ends one call although the store answers on
    // new ones, so a check is repeated once before the store counts as lost.
    void handle_failed_check(const absl::Status& status)
    {
        if (kind_of(status) == error_kind::platform_unreachable &&
            !std::exchange(repeats_check_, true))
        {
            check();
            return;
        }
        fail(status);
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
    // Nothing if the store's evacuations are not read.
    std::optional<collection_feed<evacuation_spec>> evacuations_;
    milliseconds answered_at_;
    int generation_ = 0;
    // Counts how often the feeds have been stopped.
    int run_ = 0;
    int failures_ = 0;
    bool running_ = false;
    bool store_unreachable_ = false;
    // Whether the check in progress repeats one that has failed.
    bool repeats_check_ = false;
    milliseconds reported_current_at_;
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

milliseconds store_session::current_at() const
{
    return implementation_->current_at();
}

bool store_session::is_synced() const
{
    return implementation_->is_synced();
}

store_revision store_session::target_revision() const
{
    return implementation_->target_revision();
}

store_revision store_session::evacuation_revision() const
{
    return implementation_->evacuation_revision();
}

store_call_counts store_session::counts() const
{
    return implementation_->counts();
}

} // namespace anvilturn
