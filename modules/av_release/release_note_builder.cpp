#include <av_release/release_note_builder.hpp>

#include <av_release/spec_traits.hpp>
#include <av_yaml/yaml_field_types.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace anvilturn
{
namespace
{

template <typename Spec>
std::size_t size_of(const note_part<Spec>& part)
{
    return part.added_.size() + part.changed_.size() + part.withdrawn_.size();
}

std::size_t size_of(const release_note& note)
{
    return size_of(note.services()) + size_of(note.targets()) +
           size_of(note.rules());
}

bool is_comment(std::string_view text)
{
    return text.size() <= note_comment_limit &&
           std::none_of(text.begin(),
                        text.end(),
                        [](unsigned char c)
                        {
                            return c < ' ' || c == 0x7f;
                        });
}

absl::Status check_note_header(const release_note& note,
                               const yaml_location& location)
{
    const yaml_location at = location.child("note", location.line_);
    if (!is_name(note.id()))
    {
        return at.child("id", at.line_)
            .refuse("allowed: " + std::string(name_allowed));
    }
    if (!is_comment(note.comment()))
    {
        return at.child("comment", at.line_)
            .refuse("allowed: one line of at most 1024 bytes");
    }
    const std::size_t size = size_of(note);
    if (size == 0 || size > note_object_limit)
    {
        return location.refuse("the note lists " + std::to_string(size) +
                               " objects; allowed: 1 to 5000");
    }
    return absl::OkStatus();
}

// Refuses a malformed name and one that is listed twice, in the same list or in
// different ones.
template <typename Spec>
absl::Status check_names(const note_part<Spec>& part,
                         const yaml_location& location)
{
    std::vector<std::string> names = part.withdrawn_;
    for (const Spec& spec : part.added_)
    {
        names.push_back(spec.name_);
    }
    for (const spec_change& change : part.changed_)
    {
        names.push_back(change.name_);
    }
    std::set<std::string> seen;
    for (const std::string& name : names)
    {
        const std::string kind(spec_traits<Spec>::singular);
        if (!is_name(name))
        {
            return location.refuse(kind + " '" + name +
                                   "': a name is 1 to 64 of [A-Za-z0-9._-]");
        }
        if (!seen.insert(name).second)
        {
            return location.refuse(
                kind + " '" + name +
                "' is listed twice in the note; list it once");
        }
    }
    return absl::OkStatus();
}

template <typename Spec>
absl::Status check_change(const spec_change& change,
                          const yaml_location& location)
{
    if (change.members_.empty())
    {
        return location.refuse("'" + change.name_ + "' changes no member");
    }
    for (const yaml_member& member : change.members_)
    {
        if (member.key_ == "name")
        {
            return location.refuse(
                "'" + change.name_ +
                "': a name can't change; withdraw the object "
                "and add another");
        }
        Spec scratch;
        const absl::Status status =
            read_field(spec_traits<Spec>::fields(), member, location, scratch);
        if (!status.ok())
        {
            return status;
        }
    }
    return absl::OkStatus();
}

template <typename Spec>
absl::Status check_part(const note_part<Spec>& part, const yaml_location& root)
{
    const std::string plural(spec_traits<Spec>::plural);
    absl::Status status = check_names(part, root);
    for (auto it = part.added_.begin(); status.ok() && it != part.added_.end();
         ++it)
    {
        status = check_spec(
            *it, root.child("add." + plural + "." + it->name_, root.line_));
    }
    for (auto it = part.changed_.begin();
         status.ok() && it != part.changed_.end();
         ++it)
    {
        status = check_change<Spec>(
            *it, root.child("change." + plural + "." + it->name_, root.line_));
    }
    return status;
}

} // namespace

release_note_builder::release_note_builder(std::string id,
                                           release_version base_version)
{
    note_.id_ = std::move(id);
    note_.base_version_ = base_version;
}

release_note_builder& release_note_builder::comment(std::string text)
{
    note_.comment_ = std::move(text);
    return *this;
}

release_note_builder&
release_note_builder::services(note_part<service_spec> part)
{
    note_.services_ = std::move(part);
    return *this;
}

release_note_builder& release_note_builder::targets(note_part<target_spec> part)
{
    note_.targets_ = std::move(part);
    return *this;
}

release_note_builder& release_note_builder::rules(note_part<rule_spec> part)
{
    note_.rules_ = std::move(part);
    return *this;
}

release_note_builder& release_note_builder::add(const service_spec& spec)
{
    note_.services_.added_.push_back(spec);
    return *this;
}

release_note_builder& release_note_builder::add(const target_spec& spec)
{
    note_.targets_.added_.push_back(spec);
    return *this;
}

release_note_builder& release_note_builder::add(const rule_spec& spec)
{
    note_.rules_.added_.push_back(spec);
    return *this;
}

release_note_builder&
release_note_builder::change_service(const spec_change& change)
{
    note_.services_.changed_.push_back(change);
    return *this;
}

release_note_builder&
release_note_builder::change_target(const spec_change& change)
{
    note_.targets_.changed_.push_back(change);
    return *this;
}

release_note_builder&
release_note_builder::change_rule(const spec_change& change)
{
    note_.rules_.changed_.push_back(change);
    return *this;
}

release_note_builder&
release_note_builder::withdraw_service(const std::string& name)
{
    note_.services_.withdrawn_.push_back(name);
    return *this;
}

release_note_builder&
release_note_builder::withdraw_target(const std::string& name)
{
    note_.targets_.withdrawn_.push_back(name);
    return *this;
}

release_note_builder&
release_note_builder::withdraw_rule(const std::string& name)
{
    note_.rules_.withdrawn_.push_back(name);
    return *this;
}

absl::StatusOr<release_note>
release_note_builder::build(const yaml_location& location) const
{
    yaml_location at = location;
    at.kind_ = error_kind::release_invalid;
    for (const absl::Status& status : {check_note_header(note_, at),
                                       check_part(note_.services(), at),
                                       check_part(note_.targets(), at),
                                       check_part(note_.rules(), at)})
    {
        if (!status.ok())
        {
            return status;
        }
    }
    return note_;
}

} // namespace anvilturn
