#include <av_release/release_note_codec.hpp>

#include <av_release/release_note_builder.hpp>
#include <av_release/spec_traits.hpp>
#include <av_yaml/yaml_field_types.hpp>

#include <limits>
#include <utility>

namespace anvilturn
{
namespace
{

constexpr yaml_limits note_limits{1'000'000, 6, 100'000};
// Depth to which YAML is written as blocks: sections and their lists are
// blocks, and each object takes one line.
constexpr int note_block_depth = 3;

// The section "note" of a written note.
struct note_header
{
    std::string id_;
    release_version base_version_ = 0;
    std::string comment_;
};

const yaml_fields<note_header>& note_header_fields()
{
    static const yaml_fields<note_header> fields = {
        required(
            name_field("id", &note_header::id_, "never used by another note")),
        required(
            integer_field("base_version",
                          &note_header::base_version_,
                          0,
                          std::numeric_limits<std::int64_t>::max(),
                          "release version that the note is written against")),
        text_field(
            "comment",
            &note_header::comment_,
            "one line of at most 1024 bytes",
            [](const std::string& text)
            {
                return text.size() <= note_comment_limit;
            },
            "free text for operators")};
    return fields;
}

// The members of a note as parsed, before release_note_builder checks them.
struct parsed_note
{
    note_header header_;
    note_part<service_spec> services_;
    note_part<target_spec> targets_;
    note_part<rule_spec> rules_;
};

absl::Status read_note_header(const yaml_value& value,
                              const yaml_location& location,
                              note_header& into)
{
    const absl::Status status =
        read_fields(note_header_fields(), value, location, into);
    return status.ok() ? require_fields(note_header_fields(), value, location)
                       : status;
}

template <typename Spec>
absl::Status read_added(const yaml_value& value,
                        const yaml_location& location,
                        note_part<Spec>& into)
{
    Spec spec;
    const auto& fields = spec_traits<Spec>::fields();
    absl::Status status = read_fields(fields, value, location, spec);
    if (status.ok())
    {
        status = require_fields(fields, value, location);
    }
    if (status.ok())
    {
        status = check_spec(spec, location);
    }
    into.added_.push_back(std::move(spec));
    return status;
}

template <typename Spec>
absl::Status read_changed(const yaml_value& value,
                          const yaml_location& location,
                          note_part<Spec>& into)
{
    absl::Status status = check_map(value, location);
    spec_change change;
    for (auto member = value.members_.begin();
         status.ok() && member != value.members_.end();
         ++member)
    {
        if (member->key_ == "name")
        {
            change.name_ = member->value_.scalar_;
            continue;
        }
        Spec scratch;
        status =
            read_field(spec_traits<Spec>::fields(), *member, location, scratch);
        change.members_.push_back(*member);
    }
    if (status.ok() && !is_name(change.name_))
    {
        return location.child("name", location.line_)
            .refuse("allowed: " + std::string(name_allowed));
    }
    into.changed_.push_back(std::move(change));
    return status;
}

template <typename Spec>
absl::Status read_withdrawn(const yaml_value& value,
                            const yaml_location& location,
                            note_part<Spec>& into)
{
    if (value.kind_ != yaml_kind::scalar)
    {
        return location.refuse("allowed: " + std::string(name_allowed));
    }
    into.withdrawn_.push_back(value.scalar_);
    return absl::OkStatus();
}

// Reads each entry of the list of one kind of object.
template <typename Spec, typename Read>
absl::Status read_list(const yaml_member& list,
                       const yaml_location& section,
                       note_part<Spec>& into,
                       Read read)
{
    const yaml_location location = section.child(list.key_, list.line_);
    if (list.value_.kind_ == yaml_kind::null)
    {
        return absl::OkStatus();
    }
    if (list.value_.kind_ != yaml_kind::list)
    {
        return location.refuse("needs a list");
    }
    absl::Status status;
    for (std::size_t i = 0; status.ok() && i < list.value_.items_.size(); ++i)
    {
        const yaml_value& item = list.value_.items_[i];
        status =
            read(item, location.child(std::to_string(i), item.line_), into);
    }
    return status;
}

// Reads one of the sections add, change and withdraw. The argument read is a
// generic lambda that reads an entry of any of the three kinds of object.
template <typename Read>
absl::Status read_section(const yaml_value& section,
                          const yaml_location& location,
                          parsed_note& into,
                          Read read)
{
    if (section.kind_ == yaml_kind::null)
    {
        return absl::OkStatus();
    }
    absl::Status status = check_map(section, location);
    for (auto list = section.members_.begin();
         status.ok() && list != section.members_.end();
         ++list)
    {
        if (list->key_ == "services")
        {
            status = read_list(*list, location, into.services_, read);
        }
        else if (list->key_ == "targets")
        {
            status = read_list(*list, location, into.targets_, read);
        }
        else if (list->key_ == "rules")
        {
            status = read_list(*list, location, into.rules_, read);
        }
        else
        {
            status =
                location.child(list->key_, list->line_)
                    .refuse("unknown key; allowed: services, targets, rules");
        }
    }
    return status;
}

absl::Status read_root_member(const yaml_member& member,
                              const yaml_location& root,
                              parsed_note& into)
{
    const yaml_location location = root.child(member.key_, member.line_);
    if (member.key_ == "note")
    {
        return read_note_header(member.value_, location, into.header_);
    }
    if (member.key_ == "add")
    {
        return read_section(
            member.value_,
            location,
            into,
            [](const yaml_value& item, const yaml_location& at, auto& part)
            {
                return read_added(item, at, part);
            });
    }
    if (member.key_ == "change")
    {
        return read_section(
            member.value_,
            location,
            into,
            [](const yaml_value& item, const yaml_location& at, auto& part)
            {
                return read_changed(item, at, part);
            });
    }
    if (member.key_ == "withdraw")
    {
        return read_section(
            member.value_,
            location,
            into,
            [](const yaml_value& item, const yaml_location& at, auto& part)
            {
                return read_withdrawn(item, at, part);
            });
    }
    return location.refuse("unknown key; allowed: note, add, change, withdraw");
}

absl::StatusOr<parsed_note> read_parsed_note(const yaml_value& root,
                                             const yaml_location& location)
{
    parsed_note parsed;
    absl::Status status = check_map(root, location);
    for (auto member = root.members_.begin();
         status.ok() && member != root.members_.end();
         ++member)
    {
        status = read_root_member(*member, location, parsed);
    }
    if (!status.ok())
    {
        return status;
    }
    return parsed;
}

void append(yaml_value& map, std::string_view key, yaml_value value)
{
    const bool is_empty = value.items_.empty() && value.members_.empty() &&
                          value.kind_ != yaml_kind::scalar;
    if (!is_empty)
    {
        map.members_.push_back({std::string(key), 0, std::move(value)});
    }
}

yaml_value empty_map()
{
    yaml_value value;
    value.kind_ = yaml_kind::map;
    return value;
}

template <typename Spec>
void write_part(const note_part<Spec>& part,
                yaml_value& add,
                yaml_value& change,
                yaml_value& withdraw)
{
    yaml_value added = yaml_list({});
    for (const Spec& spec : part.added_)
    {
        added.items_.push_back(write_fields(spec_traits<Spec>::fields(), spec));
    }
    yaml_value changed = yaml_list({});
    for (const spec_change& entry : part.changed_)
    {
        yaml_value map = empty_map();
        append(map, "name", yaml_scalar(entry.name_));
        map.members_.insert(
            map.members_.end(), entry.members_.begin(), entry.members_.end());
        changed.items_.push_back(std::move(map));
    }
    append(add, spec_traits<Spec>::plural, std::move(added));
    append(change, spec_traits<Spec>::plural, std::move(changed));
    append(withdraw, spec_traits<Spec>::plural, yaml_list(part.withdrawn_));
}

} // namespace

absl::StatusOr<release_note> parse_release_note(std::string_view text,
                                                std::string_view file_name)
{
    yaml_location location;
    location.file_ = std::string(file_name);
    location.line_ = 1;
    location.kind_ = error_kind::release_invalid;
    const auto root = parse_yaml(text, note_limits);
    if (!root.ok())
    {
        return locate_parse_error(location, root.status());
    }
    auto parsed = read_parsed_note(*root, location);
    if (!parsed.ok())
    {
        return parsed.status();
    }
    return release_note_builder(parsed->header_.id_,
                                parsed->header_.base_version_)
        .comment(parsed->header_.comment_)
        .services(std::move(parsed->services_))
        .targets(std::move(parsed->targets_))
        .rules(std::move(parsed->rules_))
        .build(location);
}

std::string write_release_note(const release_note& note)
{
    yaml_value root = empty_map();
    append(root,
           "note",
           write_fields(
               note_header_fields(),
               note_header{note.id(), note.base_version(), note.comment()}));
    yaml_value add = empty_map();
    yaml_value change = empty_map();
    yaml_value withdraw = empty_map();
    write_part(note.services(), add, change, withdraw);
    write_part(note.targets(), add, change, withdraw);
    write_part(note.rules(), add, change, withdraw);
    append(root, "add", std::move(add));
    append(root, "change", std::move(change));
    append(root, "withdraw", std::move(withdraw));
    return write_yaml(root, note_block_depth);
}

} // namespace anvilturn
