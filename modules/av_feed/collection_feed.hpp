#ifndef AV_FEED_COLLECTION_FEED_HPP
#define AV_FEED_COLLECTION_FEED_HPP

#include <av_core/error.hpp>
#include <av_core/log_event.hpp>
#include <av_feed/collection_source.hpp>
#include <av_net/duration.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <iterator>
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
    // A call failed; the feed has stopped.
    std::function<void(const absl::Status& status)> on_failure_;
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
        , timer_(context)
    {
    }

    // Lists the collection and watches it. A feed that was stopped begins
    // anew: a watch from an earlier revision can be accepted and yet miss
    // changes that the store has dropped from its history.
    void start()
    {
        stop();
        list({});
    }

    // Gives up on the call under way; its connection may be silent.
    void stop()
    {
        ++generation_;
        timer_.cancel();
        listed_ = false;
        watching_ = false;
        watch_suspected_ = false;
    }

    // Asks whether the store has changes that the watch has not told. One that
    // has not told them when they are found a second time is given up: its
    // connection may be silent for good while others work.
    void check(milliseconds timeout,
               std::function<void(const absl::Status& status)> done)
    {
        source_.has_changes_(revision_,
                             timeout,
                             [this,
                              generation = generation_,
                              since = revision_,
                              done = std::move(done)](absl::StatusOr<bool> news)
                             {
                                 if (news.ok() && generation == generation_)
                                 {
                                     apply_check_result(since, *news);
                                 }
                                 done(news.status());
                             });
    }

    // Whether the collection was listed since the start.
    bool is_listed() const
    {
        return listed_;
    }

    // Returns the revision of the store up to which changes are known.
    store_revision revision() const
    {
        return revision_;
    }

private:
    // A watch that waits costs one call; longer ones may be cut anyway.
    static constexpr milliseconds watch_wait{30000.0};
    // Changes that follow each other closely are had by one call. A change
    // after a quiet time is told at once by the watch that waits.
    static constexpr milliseconds watch_batching_delay{600.0};

    void list(const std::string& after)
    {
        if (after.empty())
        {
            objects_.clear();
        }
        source_.list_(after,
                      [this, generation = generation_, first = after.empty()](
                          typename collection_source<Value>::listing page)
                      {
                          if (generation == generation_)
                          {
                              apply_page(std::move(page), first);
                          }
                      });
    }

    void apply_page(typename collection_source<Value>::listing page, bool first)
    {
        if (kind_of(page.status()) == error_kind::platform_history_gone)
        {
            list({});
            return;
        }
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
        log_decode_errors(objects_);
        observer_.on_listing_(std::exchange(objects_, {}));
        watch();
    }

    void apply_check_result(store_revision since, bool has_news)
    {
        if (!has_news || !watching_ || since != revision_)
        {
            watch_suspected_ = false;
            return;
        }
        if (!std::exchange(watch_suspected_, true))
        {
            return;
        }
        log_event(log_level::warning, "store_watch_silent")
            .field("collection", name_)
            .field("revision", revision_)
            .write();
        watch_suspected_ = false;
        ++generation_;
        watch();
    }

    void watch()
    {
        watching_ = true;
        source_.watch_(revision_,
                       watch_wait,
                       [this, generation = generation_](
                           typename collection_source<Value>::changes changes)
                       {
                           if (generation == generation_)
                           {
                               apply_changes(std::move(changes));
                           }
                       });
    }

    void apply_changes(typename collection_source<Value>::changes changes)
    {
        watching_ = false;
        watch_suspected_ = false;
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
        revision_ = changes->revision_;
        if (changes->changes_.empty())
        {
            watch();
            return;
        }
        log_decode_errors(*changes);
        observer_.on_changes_(std::move(changes->changes_));
        schedule_watch();
    }

    void schedule_watch()
    {
        timer_.expires_after(to_duration(watch_batching_delay));
        timer_.async_wait(
            [this,
             generation = generation_](const boost::system::error_code& error)
            {
                if (!error && generation == generation_)
                {
                    watch();
                }
            });
    }

    void fail(const absl::Status& status)
    {
        stop();
        observer_.on_failure_(status);
    }

    void
    log_decode_errors(const std::vector<listed_object<Value>>& objects) const
    {
        for (const auto& object : objects)
        {
            log_decode_error(object);
        }
    }

    void log_decode_errors(const object_changes<Value>& changes) const
    {
        for (const auto& change : changes.changes_)
        {
            if (!change.removed_)
            {
                log_decode_error(change.object_);
            }
        }
    }

    void log_decode_error(const listed_object<Value>& object) const
    {
        if (object.value_)
        {
            return;
        }
        log_event(log_level::warning, "store_object_unreadable")
            .field("collection", name_)
            .field("object", object.name_)
            .field("revision", object.revision_)
            .field("problem", object.decode_error_)
            .write();
    }

    const std::string name_;
    collection_source<Value> source_;
    collection_observer<Value> observer_;
    boost::asio::steady_timer timer_;
    std::vector<listed_object<Value>> objects_;
    store_revision revision_ = 0;
    // Answers to calls of an earlier generation are not waited for.
    int generation_ = 0;
    bool listed_ = false;
    // Whether a watch waits, and whether it may be silent.
    bool watching_ = false;
    bool watch_suspected_ = false;
};

} // namespace anvilturn

#endif
