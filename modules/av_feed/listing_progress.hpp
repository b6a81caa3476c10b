#ifndef AV_FEED_LISTING_PROGRESS_HPP
#define AV_FEED_LISTING_PROGRESS_HPP

#include <av_registry/listed_object.hpp>

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace anvilturn
{

// What follows a page of a listing.
enum class listing_step
{
    read_next_page,
    complete,
    // The store says that there is more, but no call gets further.
    stuck
};

// Gathers the pages of one listing and decides how it goes on. Any writer may
// choose the names of its objects, so a store may misread a name that is asked
// for: a listing that repeats itself tries other names of the page, then ends.
template <typename Value>
class listing_progress
{
public:
    // Adds a page. An object that an earlier page had is left out.
    listing_step add(listing_page<Value> page)
    {
        const bool has_more = page.has_more_;
        choose_next_name(page.objects_);
        const bool any_new = add_objects(std::move(page.objects_));
        pages_without_new_objects_ =
            any_new ? 0 : pages_without_new_objects_ + 1;
        if (!has_more)
        {
            return listing_step::complete;
        }
        const bool is_stuck =
            next_name_.empty() ||
            pages_without_new_objects_ > max_pages_without_new_objects;
        return is_stuck ? listing_step::stuck : listing_step::read_next_page;
    }

    // The name after which the next page begins.
    const std::string& next_name() const
    {
        return next_name_;
    }

    // Returns the objects of all pages and begins a new listing.
    std::vector<listed_object<Value>> take_objects()
    {
        auto objects = std::move(objects_);
        *this = listing_progress();
        return objects;
    }

private:
    static constexpr int max_pages_without_new_objects = 3;

    // Chooses the last name of the page that was not asked for yet; that of an
    // object that could be decoded if there is one, since the store certainly
    // reads such a name as it was meant.
    void choose_next_name(const std::vector<listed_object<Value>>& objects)
    {
        next_name_.clear();
        for (auto object = objects.rbegin(); object != objects.rend(); ++object)
        {
            if (object->name_.empty() || asked_names_.count(object->name_) != 0)
            {
                continue;
            }
            if (object->value_)
            {
                next_name_ = object->name_;
                break;
            }
            if (next_name_.empty())
            {
                next_name_ = object->name_;
            }
        }
        asked_names_.insert(next_name_);
    }

    // Returns whether one of the objects was new.
    bool add_objects(std::vector<listed_object<Value>> objects)
    {
        bool any_new = false;
        for (auto& object : objects)
        {
            const bool is_new =
                object.name_.empty() || names_.insert(object.name_).second;
            any_new = any_new || (is_new && !object.name_.empty());
            if (is_new)
            {
                objects_.push_back(std::move(object));
            }
        }
        return any_new;
    }

    std::vector<listed_object<Value>> objects_;
    std::set<std::string> names_;
    std::set<std::string> asked_names_;
    std::string next_name_;
    int pages_without_new_objects_ = 0;
};

} // namespace anvilturn

#endif
