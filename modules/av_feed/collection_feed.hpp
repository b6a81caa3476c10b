#ifndef AV_FEED_COLLECTION_FEED_HPP
#define AV_FEED_COLLECTION_FEED_HPP

#include <av_core/error.hpp>
#include <av_core/log_event.hpp>
#include <av_feed/collection_source.hpp>
#include <av_feed/retry_pace.hpp>
#include <av_net/duration.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <iterator>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace anvilturn
{

// Who is told how a collection stands.
template <typename Value>
struct collection_observer
{
    std::function<void(std::vector<listed_object<Value>> objects)> on_listing_;
    std::function<void(std::vector<object_change<Value>> changes)> on_changes_;
    // The store answers again after at least one failure; told before what it
    // answered.
    std::function<void()> on_recovery_;
};

// Keeps in step with one collection: lists it by pages, then watches it, and
// lists it again when the store has forgotten what happened meanwhile. All
// runs on the thread of the io_context. It must outlive its calls.
template <typename Value>
class collection_feed
{
public:
    // The name is for logs.
    collection_feed(boost::asio::io_context& context,
                    std::string name,
                    collection_source<Value> source,
                    collection_observer<Value> observer)
        : name_(std::move(name))
        , source_(std::move(source))
        , observer_(std::move(observer))
        , random_(std::random_device()())
        , timer_(context)
    {
    }

    void start()
    {
        list({});
    }

    // Gives up on the call under way, whose connection may be silent, and
    // tries again after a pause.
    void interrupt()
    {
        ++generation_;
        fail(make_error(error_kind::platform_unreachable, "no answer"));
    }

    // Tries again at once if the feed pauses after failures.
    void retry_now()
    {
        if (pauses_)
        {
            timer_.cancel();
            proceed();
        }
    }

    bool is_listed() const
    {
        return listed_;
    }

private:
    // A watch that waits costs one call; longer ones may be cut anyway.
    static constexpr milliseconds watch_wait{30000.0};
    // Changes that follow each other closely are had by one call. A change
    // after a quiet time is told at once by the watch that waits.
    static constexpr milliseconds watch_pause{600.0};

    void list(const std::string& after)
    {
        if (after.empty())
        {
            objects_.clear();
        }
        source_.list_(
            after,
            [this, generation = generation_, first = after.empty()](
                typename collection_source<Value>::listing page)
            {
                if (generation == generation_)
                {
                    take_page(std::move(page), first);
                }
            });
    }

    void take_page(typename collection_source<Value>::listing page, bool first)
    {
        if (!page.ok())
        {
            fail(page.status());
            return;
        }
        if (first)
        {
            // Changes made while further pages were read follow from here.
            revision_ = page->revision_;
        }
        std::move(page->objects_.begin(),
                  page->objects_.end(),
                  std::back_inserter(objects_));
        if (page->has_more_ && !objects_.empty())
        {
            list(objects_.back().name_);
            return;
        }
        listed_ = true;
        succeed();
        log_problems(objects_);
        observer_.on_listing_(std::exchange(objects_, {}));
        watch();
    }

    void watch()
    {
        source_.watch_(
            revision_,
            watch_wait,
            [this, generation = generation_](
                typename collection_source<Value>::changes changes)
            {
                if (generation == generation_)
                {
                    take_changes(std::move(changes));
                }
            });
    }

    void take_changes(typename collection_source<Value>::changes changes)
    {
        if (kind_of(changes.status()) == error_kind::platform_history_gone)
        {
            log_event(log_level::info, "store_history_gone")
                .field("collection", name_)
                .field("revision", revision_)
                .write();
            list({});
            return;
        }
        if (!changes.ok())
        {
            fail(changes.status());
            return;
        }
        succeed();
        revision_ = changes->revision_;
        if (changes->changes_.empty())
        {
            watch();
            return;
        }
        for (const auto& change : changes->changes_)
        {
            if (!change.removed_)
            {
                log_problem(change.object_);
            }
        }
        observer_.on_changes_(std::move(changes->changes_));
        pause(watch_pause);
    }

    void log_problems(const std::vector<listed_object<Value>>& objects) const
    {
        for (const auto& object : objects)
        {
            log_problem(object);
        }
    }

    void log_problem(const listed_object<Value>& object) const
    {
        if (object.value_)
        {
            return;
        }
        log_event(log_level::warning, "store_object_unreadable")
            .field("collection", name_)
            .field("object", object.name_)
            .field("revision", object.revision_)
            .field("problem", object.problem_)
            .write();
    }

    void succeed()
    {
        if (failures_ == 0)
        {
            return;
        }
        log_event(log_level::info, "store_regained")
            .field("collection", name_)
            .field("failures", failures_)
            .write();
        failures_ = 0;
        observer_.on_recovery_();
    }

    // After a failure the collection is listed anew: a watch from an earlier
    // revision can be accepted and yet miss changes that the store has dropped
    // from its history.
    void fail(const absl::Status& status)
    {
        listed_ = false;
        if (failures_++ == 0)
        {
            log_event(log_level::warning, "store_lost")
                .field("collection", name_)
                .field("revision", revision_)
                .field("error", status)
                .write();
        }
        std::uniform_real_distribution<double> random(0.0, 1.0);
        pause(retry_pause(failures_, random(random_)));
    }

    void pause(milliseconds time)
    {
        pauses_ = true;
        timer_.expires_after(to_duration(time));
        timer_.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                {
                    proceed();
                }
            });
    }

    void proceed()
    {
        pauses_ = false;
        if (listed_)
        {
            watch();
            return;
        }
        list({});
    }

    const std::string name_;
    collection_source<Value> source_;
    collection_observer<Value> observer_;
    std::minstd_rand random_;
    boost::asio::steady_timer timer_;
    std::vector<listed_object<Value>> objects_;
    store_revision revision_ = 0;
    // Answers to calls of an earlier generation are not waited for.
    int generation_ = 0;
    int failures_ = 0;
    bool listed_ = false;
    bool pauses_ = false;
};

} // namespace anvilturn

#endif
