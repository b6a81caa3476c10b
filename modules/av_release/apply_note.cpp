#include <av_release/apply_note.hpp>

#include <av_core/error.hpp>
#include <av_release/release_codec.hpp>
#include <av_release/spec_traits.hpp>
#include <av_release/validate_release.hpp>

#include <algorithm>
#include <set>

namespace anvilturn
{
namespace
{

constexpr std::size_t max_listed_conflicts = 20;

std::string quoted(const std::string& text)
{
    return "'" + text + "'";
}

absl::Status invalid(const std::string& detail)
{
    return make_error(error_kind::release_invalid, detail);
}

template <typename Spec>
void collect_touched(const note_part<Spec>& part, std::set<std::string>& into)
{
    const std::string_view kind = spec_traits<Spec>::singular;
    for (const Spec& spec : part.added_)
    {
        into.insert(object_key(kind, spec.name_));
    }
    for (const spec_change& change : part.changed_)
    {
        into.insert(object_key(kind, change.name_));
    }
    for (const std::string& name : part.withdrawn_)
    {
        into.insert(object_key(kind, name));
    }
}

// Returns the keys of the objects that the note adds, changes or withdraws.
std::set<std::string> touched_objects(const release_note& note)
{
    std::set<std::string> result;
    collect_touched(note.services(), result);
    collect_touched(note.targets(), result);
    collect_touched(note.rules(), result);
    return result;
}

// Adds the services that the note's targets or rules refer to.
template <typename Spec>
void collect_referenced_services(const note_part<Spec>& part,
                                 std::set<std::string>& into)
{
    for (const Spec& spec : part.added_)
    {
        into.insert(object_key("service", spec.service_));
    }
    for (const spec_change& change : part.changed_)
    {
        for (const yaml_member& member : change.members_)
        {
            if (member.key_ == "service")
            {
                into.insert(object_key("service", member.value_.scalar_));
            }
        }
    }
}

// Adds the targets or rules of the current release that refer to the service.
template <typename Spec>
void collect_objects_of_service(const release& current,
                                const std::string& service,
                                std::set<std::string>& into)
{
    for (const auto& [name, spec] : current.*spec_traits<Spec>::objects)
    {
        if (spec.service_ == service)
        {
            into.insert(object_key(spec_traits<Spec>::singular, name));
        }
    }
}

// Returns the keys of the objects that the note touches or depends on.
std::set<std::string> touched_or_required_objects(const release& current,
                                                  const release_note& note)
{
    std::set<std::string> result = touched_objects(note);
    collect_referenced_services(note.targets(), result);
    collect_referenced_services(note.rules(), result);
    for (const std::string& service : note.services().withdrawn_)
    {
        collect_objects_of_service<target_spec>(current, service, result);
        collect_objects_of_service<rule_spec>(current, service, result);
    }
    return result;
}

// Returns a text that lists the objects that changed after the note's base
// version, each with the version of its last change; empty if there are none.
template <typename Keys>
std::string objects_changed_since(const release& current,
                                  const Keys& keys,
                                  release_version base)
{
    std::string result;
    std::size_t count = 0;
    for (const std::string& key : keys)
    {
        const auto changed = current.changed_in_.find(key);
        if (changed == current.changed_in_.end() || changed->second <= base)
        {
            continue;
        }
        if (++count > max_listed_conflicts)
        {
            return result + ", and more";
        }
        result += (result.empty() ? "" : ", ") + key + " in version " +
                  std::to_string(changed->second);
    }
    return result;
}

absl::Status conflict(const release& current,
                      const release_note& note,
                      const std::string& what)
{
    return make_error(
        error_kind::release_conflict,
        "note " + quoted(note.id()) + " was written against version " +
            std::to_string(note.base_version()) + "; in force is version " +
            std::to_string(current.version_) + "; " + what);
}

absl::Status check_base(const release& current, const release_note& note)
{
    if (const auto accepted = find_note(current, note.id()))
    {
        return invalid("a note with id " + quoted(note.id()) +
                       " was accepted as version " + std::to_string(*accepted) +
                       "; give a new note a new id");
    }
    if (note.base_version() > current.version_)
    {
        return invalid("base version " + std::to_string(note.base_version()) +
                       " does not exist yet; in force is version " +
                       std::to_string(current.version_));
    }
    const release_version oldest = oldest_base(current);
    if (note.base_version() < oldest)
    {
        return conflict(current,
                        note,
                        "changes before version " + std::to_string(oldest) +
                            " are no longer recorded");
    }
    const std::string changed_objects =
        objects_changed_since(current,
                              touched_or_required_objects(current, note),
                              note.base_version());
    if (!changed_objects.empty())
    {
        return conflict(current, note, "changed since: " + changed_objects);
    }
    return absl::OkStatus();
}

// Sets the members of an object that the note changes.
template <typename Spec>
absl::Status
change_object(const std::string& key, const spec_change& change, Spec& spec)
{
    yaml_location location;
    location.kind_ = error_kind::release_invalid;
    location.key_ = key;
    absl::Status status;
    for (auto member = change.members_.begin();
         status.ok() && member != change.members_.end();
         ++member)
    {
        status =
            read_field(spec_traits<Spec>::fields(), *member, location, spec);
    }
    return status.ok() ? check_spec(spec, location) : status;
}

template <typename Spec>
absl::Status apply_part(const note_part<Spec>& part, release& into)
{
    const std::string_view kind = spec_traits<Spec>::singular;
    auto& objects = into.*spec_traits<Spec>::objects;
    for (const std::string& name : part.withdrawn_)
    {
        if (objects.erase(name) == 0)
        {
            return invalid(object_key(kind, name) +
                           " is withdrawn but does not exist");
        }
    }
    for (const Spec& spec : part.added_)
    {
        if (!objects.emplace(spec.name_, spec).second)
        {
            return invalid(object_key(kind, spec.name_) +
                           " is added but exists; list it under change");
        }
    }
    for (const spec_change& change : part.changed_)
    {
        const std::string key = object_key(kind, change.name_);
        const auto found = objects.find(change.name_);
        if (found == objects.end())
        {
            return invalid(key + " is changed but does not exist; list it "
                                 "under add");
        }
        const absl::Status status = change_object(key, change, found->second);
        if (!status.ok())
        {
            return status;
        }
    }
    return absl::OkStatus();
}

absl::Status apply_parts(const release_note& note, release& into)
{
    absl::Status status = apply_part(note.services(), into);
    if (status.ok())
    {
        status = apply_part(note.targets(), into);
    }
    return status.ok() ? apply_part(note.rules(), into) : status;
}

bool exists(const release& value, const std::string& key)
{
    const auto slash = key.find('/');
    const std::string kind = key.substr(0, slash);
    const std::string name = key.substr(slash + 1);
    return (kind == spec_traits<service_spec>::singular &&
            value.services_.count(name) != 0) ||
           (kind == spec_traits<target_spec>::singular &&
            value.targets_.count(name) != 0) ||
           (kind == spec_traits<rule_spec>::singular &&
            value.rules_.count(name) != 0);
}

// Removes the oldest notes beyond the limit, and the change records of
// withdrawn objects that no allowed base version needs.
void trim_history(const release_limits& limits, release& value)
{
    while (value.recent_notes_.size() > limits.max_recent_notes_)
    {
        value.recent_notes_.erase(value.recent_notes_.begin());
    }
    const release_version oldest = oldest_base(value);
    for (auto entry = value.changed_in_.begin();
         entry != value.changed_in_.end();)
    {
        const bool is_obsolete =
            entry->second <= oldest && !exists(value, entry->first);
        entry = is_obsolete ? value.changed_in_.erase(entry) : ++entry;
    }
}

void record_note(const release_note& note,
                 const release_limits& limits,
                 release& into)
{
    ++into.version_;
    into.note_id_ = note.id();
    into.recent_notes_[into.version_] = note.id();
    for (const std::string& key : touched_objects(note))
    {
        into.changed_in_[key] = into.version_;
    }
    trim_history(limits, into);
}

// Returns the error for a result that is invalid. If an object involved changed
// after the note's base version, two notes conflict; otherwise this note is
// invalid.
absl::Status make_validation_status(const release& current,
                                    const release_note& note,
                                    const validation_error& error)
{
    const std::string changed_objects =
        objects_changed_since(current, error.objects_, note.base_version());
    return changed_objects.empty()
               ? invalid(error.detail_)
               : conflict(current,
                          note,
                          error.detail_ +
                              "; changed since: " + changed_objects);
}

absl::Status check_size(const release& value, const release_limits& limits)
{
    const std::size_t bytes = write_release(value).size();
    if (bytes > limits.max_value_bytes_)
    {
        return make_error(error_kind::release_too_large,
                          "the release would take " + std::to_string(bytes) +
                              " bytes; at most " +
                              std::to_string(limits.max_value_bytes_) +
                              " are allowed");
    }
    return absl::OkStatus();
}

} // namespace

std::optional<release_version> find_note(const release& value,
                                         std::string_view id)
{
    const auto found = std::find_if(value.recent_notes_.begin(),
                                    value.recent_notes_.end(),
                                    [id](const auto& entry)
                                    {
                                        return entry.second == id;
                                    });
    if (found == value.recent_notes_.end())
    {
        return std::nullopt;
    }
    return found->first;
}

release_version oldest_base(const release& value)
{
    return value.recent_notes_.empty() ? value.version_
                                       : value.recent_notes_.begin()->first - 1;
}

absl::StatusOr<release> apply_note(const release& current,
                                   const release_note& note,
                                   const release_limits& limits)
{
    absl::Status status = check_base(current, note);
    release result = current;
    if (status.ok())
    {
        status = apply_parts(note, result);
    }
    if (!status.ok())
    {
        return status;
    }
    if (const auto error = find_validation_error(result, limits))
    {
        return make_validation_status(current, note, *error);
    }
    record_note(note, limits, result);
    status = check_size(result, limits);
    if (!status.ok())
    {
        return status;
    }
    return result;
}

} // namespace anvilturn
