#ifndef AV_FEED_TESTS_SCRIPTED_STORE_HPP
#define AV_FEED_TESTS_SCRIPTED_STORE_HPP

#include <av_core/error.hpp>
#include <av_feed/av_feed.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace anvilturn::testing
{

// Returns the error of each scripted call while the store is unreachable.
inline absl::Status unreachable_error()
{
    return make_error(error_kind::platform_unreachable, "scripted");
}

// One collection of the store, with counts of the calls for it.
template <typename Value>
struct scripted_collection
{
    std::map<std::string, listed_object<Value>> objects_;
    std::function<void(absl::StatusOr<object_changes<Value>>)> pending_watch_;
    int lists_ = 0;
    int watches_ = 0;
    int checks_ = 0;
    // Whether lists are not answered, and the last one that was not.
    bool silent_ = false;
    std::function<void(absl::StatusOr<listing_page<Value>>)> unanswered_list_;
    // Whether each page of a listing is the first one again.
    bool is_stuck_ = false;
    // Whether lists are answered with an error status.
    bool refuses_lists_ = false;
    // All changes so far. Pending watches don't report them.
    std::vector<object_change<Value>> events_;
};

// Returns the error of each scripted call that the store refuses.
inline absl::Status refused_error()
{
    return make_error(error_kind::platform_refused, "scripted");
}

// A store of releases and targets whose calls can be made to fail. Pending
// watches report nothing unless a test does so.
class scripted_store
{
public:
    explicit scripted_store(boost::asio::io_context& context)
        : context_(context)
    {
    }

    store_calls calls()
    {
        store_calls result;
        result.release_name_ = "main";
        result.releases_ = source(releases_);
        result.targets_ = source(targets_);
        if (has_evacuations_)
        {
            result.evacuations_ = source(evacuations_);
        }
        result.read_revision_ = [this](milliseconds, auto done)
        {
            ++checks_;
            const bool fails = down_ || failing_checks_ > 0;
            failing_checks_ -= failing_checks_ > 0 ? 1 : 0;
            post_to_context(
                [this, fails, done]
                {
                    done(fails ? absl::StatusOr<store_revision>(
                                     unreachable_error())
                               : revision_);
                });
        };
        result.check_ = [this](milliseconds, auto done)
        {
            ++checks_;
            post_to_context(
                [this, done]
                {
                    done(down_ ? unreachable_error() : absl::OkStatus());
                });
        };
        result.counts_ = []
        {
            return store_call_counts();
        };
        return result;
    }

    void put(const std::string& name)
    {
        target_spec spec;
        spec.name_ = name;
        put(targets_, name, spec);
    }

    void remove(const std::string& name)
    {
        auto object = targets_.objects_.at(name);
        object.revision_ = ++revision_;
        targets_.objects_.erase(name);
        targets_.events_.push_back({object, true, false});
    }

    void evacuate(const std::string& domain)
    {
        put(evacuations_, domain, evacuation_spec());
    }

    void put_release(release_version version)
    {
        release value;
        value.version_ = version;
        put(releases_, "main", value);
    }

    // Ends the pending watches with an error, as if the connections had failed.
    void fail_watches()
    {
        if (const auto watch = std::exchange(releases_.pending_watch_, nullptr))
        {
            watch(unreachable_error());
        }
        if (const auto watch = std::exchange(targets_.pending_watch_, nullptr))
        {
            watch(unreachable_error());
        }
    }

    // Whether calls() includes those for evacuations.
    bool has_evacuations_ = false;
    scripted_collection<release> releases_;
    scripted_collection<target_spec> targets_;
    scripted_collection<evacuation_spec> evacuations_;
    // Watches from an earlier revision fail with platform_history_gone.
    store_revision oldest_revision_ = 0;
    bool down_ = false;
    int checks_ = 0;
    // Number of the next checks of the revision that get no answer.
    int failing_checks_ = 0;

private:
    // Small, so that a listing takes several calls.
    static constexpr std::size_t page_size = 2;

    template <typename Value>
    void put(scripted_collection<Value>& collection,
             const std::string& name,
             const Value& value)
    {
        const listed_object<Value> object{name, ++revision_, value, ""};
        collection.objects_[name] = object;
        collection.events_.push_back({object, false, false});
    }

    template <typename Work>
    void post_to_context(Work work)
    {
        boost::asio::post(context_, std::move(work));
    }

    template <typename Value>
    collection_source<Value> source(scripted_collection<Value>& collection)
    {
        collection_source<Value> result;
        result.list_ = [this, &collection](const std::string& after, auto done)
        {
            ++collection.lists_;
            if (collection.silent_)
            {
                collection.unanswered_list_ = done;
                return;
            }
            post_to_context(
                [this, &collection, after, done]
                {
                    done(page(collection, after));
                });
        };
        result.watch_ =
            [this, &collection](store_revision since, milliseconds, auto done)
        {
            ++collection.watches_;
            if (!down_ && since >= oldest_revision_)
            {
                collection.pending_watch_ = done;
                return;
            }
            const auto status =
                down_ ? unreachable_error()
                      : make_error(error_kind::platform_history_gone, "");
            post_to_context(
                [status, done]
                {
                    done(status);
                });
        };
        result.read_changes_ =
            [this, &collection](store_revision since, milliseconds, auto done)
        {
            ++collection.checks_;
            post_to_context(
                [this, &collection, since, done]
                {
                    done(changes_since(collection, since));
                });
        };
        return result;
    }

    template <typename Value>
    absl::StatusOr<object_changes<Value>>
    changes_since(const scripted_collection<Value>& collection,
                  store_revision since) const
    {
        if (down_)
        {
            return unreachable_error();
        }
        if (since < oldest_revision_)
        {
            return make_error(error_kind::platform_history_gone, "");
        }
        object_changes<Value> result;
        result.revision_ = revision_;
        for (const auto& event : collection.events_)
        {
            if (event.object_.revision_ > since)
            {
                result.changes_.push_back(event);
            }
        }
        return result;
    }

    template <typename Value>
    absl::StatusOr<listing_page<Value>>
    page(const scripted_collection<Value>& collection,
         const std::string& after) const
    {
        if (down_ || collection.refuses_lists_)
        {
            return down_ ? unreachable_error() : refused_error();
        }
        listing_page<Value> result;
        result.revision_ = revision_;
        auto next = collection.objects_.upper_bound(
            collection.is_stuck_ ? std::string() : after);
        while (next != collection.objects_.end() &&
               result.objects_.size() < page_size)
        {
            result.objects_.push_back(next->second);
            ++next;
        }
        result.has_more_ = next != collection.objects_.end();
        return result;
    }

    boost::asio::io_context& context_;
    store_revision revision_ = 10;
};

} // namespace anvilturn::testing

#endif
