#include <av_release/release_note_codec.hpp>

#include <av_release/release_note_builder.hpp>
#include <av_release/spec_kind.hpp>
#include <av_yaml/yaml_field_types.hpp>

#include <limits>
#include <utility>

namespace anvilturn
{
namespace
{

constexpr yaml_limits note_limits{1'000'000, 6, 100'000};
// Objects take one line each: sections and lists of them are blocks.
constexpr int note_block_depth = 3;

// The head of a note, as its text has it.
struct note_header
{
    std::string id_;
    release_version base_version_ = 0;
    std::string comment_;
};

const yaml_fields<note_header>& note_header_fields()
{
    static const yaml_fields<note_header> fields = {
        required(name_field("id", &note_header::id_, "unique for all time")),
        required(
            integer_field("base_version",
                          &note_header::base_version_,
                          0,
                          std::numeric_limits<std::int64_t>::max(),
                          "version of the release that it is written against")),
        text_field(
            "comment",
            &note_header::comment_,
            "one line of at most 1024 bytes",
            [](const std::string& text)
            {
                return text.size() <= note_comment_limit;
            },
            "for people")};
    return fields;
}

// The parts of a note while it is read.
struct parsed_note
{
    note_header head_;
    note_part<service_spec> services_;
    note_part<target_spec> targets_;
    note_part<rule_spec> rules_;
};

absl::Status read_head(const yaml_value& value,
                       const yaml_location& place,
                       note_header& into)
{
    const absl::Status status =
        read_fields(note_header_fields(), value, place, into);
    return status.ok() ? require_fields(note_header_fields(), value, place)
                       : status;
}

template <typename Spec>
absl::Status read_added(const yaml_value& value,
                        const yaml_location& place,
                        note_part<Spec>& into)
{
    Spec spec;
    const auto& fields = spec_traits<Spec>::fields();
    absl::Status status = read_fields(fields, value, place, spec);
    if (status.ok())
    {
        status = require_fields(fields, value, place);
    }
    if (status.ok())
    {
        status = check_spec(spec, place);
    }
    into.added_.push_back(std::move(spec));
    return status;
}

template <typename Spec>
absl::Status read_changed(const yaml_value& value,
                          const yaml_location& place,
                          note_part<Spec>& into)
{
    absl::Status status = check_map(value, place);
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
            read_field(spec_traits<Spec>::fields(), *member, place, scratch);
        change.members_.push_back(*member);
    }
    if (status.ok() && !is_name(change.name_))
    {
        return place.below("name", place.line_)
            .refuse("allowed: " + std::string(name_allowed));
    }
    into.changed_.push_back(std::move(change));
    return status;
}

template <typename Spec>
absl::Status read_withdrawn(const yaml_value& value,
                            const yaml_location& place,
                            note_part<Spec>& into)
{
    if (value.kind_ != yaml_kind::scalar)
    {
        return place.refuse("allowed: " + std::string(name_allowed));
    }
    into.withdrawn_.push_back(value.scalar_);
    return absl::OkStatus();
}

// Reads each entry of the list of one kind of objects.
template <typename Spec, typename Read>
absl::Status read_list(const yaml_member& list,
                       const yaml_location& section,
                       note_part<Spec>& into,
                       Read read)
{
    const yaml_location place = section.below(list.key_, list.line_);
    if (list.value_.kind_ == yaml_kind::null)
    {
        return absl::OkStatus();
    }
    if (list.value_.kind_ != yaml_kind::list)
    {
        return place.refuse("needs a list");
    }
    absl::Status status;
    for (std::size_t i = 0; status.ok() && i < list.value_.items_.size(); ++i)
    {
        const yaml_value& item = list.value_.items_[i];
        status = read(item, place.below(std::to_string(i), item.line_), into);
    }
    return status;
}

// Reads one of the sections add, change and withdraw. The reader is a generic
// lambda that handles the entries of all three kinds.
template <typename Read>
absl::Status read_section(const yaml_value& section,
                          const yaml_location& place,
                          parsed_note& into,
                          Read read)
{
    if (section.kind_ == yaml_kind::null)
    {
        return absl::OkStatus();
    }
    absl::Status status = check_map(section, place);
    for (auto list = section.members_.begin();
         status.ok() && list != section.members_.end();
         ++list)
    {
        if (list->key_ == "services")
        {
            status = read_list(*list, place, into.services_, read);
        }
        else if (list->key_ == "targets")
        {
            status = read_list(*list, place, into.targets_, read);
        }
        else if (list->key_ == "rules")
        {
            status = read_list(*list, place, into.rules_, read);
        }
        else
        {
            status =
                place.below(list->key_, list->line_)
                    .refuse("unknown key; allowed: services, targets, rules");
        }
    }
    return status;
}

absl::Status read_root_member(const yaml_member& member,
                              const yaml_location& root,
                              parsed_note& into)
{
    const yaml_location place = root.below(member.key_, member.line_);
    if (member.key_ == "note")
    {
        return read_head(member.value_, place, into.head_);
    }
    if (member.key_ == "add")
    {
        return read_section(
            member.value_,
            place,
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
            place,
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
            place,
            into,
            [](const yaml_value& item, const yaml_location& at, auto& part)
            {
                return read_withdrawn(item, at, part);
            });
    }
    return place.refuse("unknown key; allowed: note, add, change, withdraw");
}

absl::StatusOr<parsed_note> read_parsed_note(const yaml_value& root,
                                             const yaml_location& place)
{
    parsed_note draft;
    absl::Status status = check_map(root, place);
    for (auto member = root.members_.begin();
         status.ok() && member != root.members_.end();
         ++member)
    {
        status = read_root_member(*member, place, draft);
    }
    if (!status.ok())
    {
        return status;
    }
    return draft;
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
    yaml_location place;
    place.file_ = std::string(file_name);
    place.line_ = 1;
    place.kind_ = error_kind::release_invalid;
    const auto root = parse_yaml(text, note_limits);
    if (!root.ok())
    {
        return locate_parse_error(place, root.status());
    }
    auto draft = read_parsed_note(*root, place);
    if (!draft.ok())
    {
        return draft.status();
    }
    return release_note_builder(draft->head_.id_, draft->head_.base_version_)
        .comment(draft->head_.comment_)
        .services(std::move(draft->services_))
        .targets(std::move(draft->targets_))
        .rules(std::move(draft->rules_))
        .build(place);
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
