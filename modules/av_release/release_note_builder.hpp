#ifndef AV_RELEASE_RELEASE_NOTE_BUILDER_HPP
#define AV_RELEASE_RELEASE_NOTE_BUILDER_HPP

#include <av_release/release_note.hpp>
#include <av_yaml/yaml_source.hpp>

#include <absl/status/statusor.h>

#include <string>

namespace anvilturn
{

// Largest number of objects in one note.
constexpr std::size_t note_object_limit = 5000;

// Largest size of the comment of a note, in bytes.
constexpr std::size_t note_comment_limit = 1024;

// Builds a release note. Use parse_release_note for a note in YAML.
class release_note_builder
{
public:
    release_note_builder(std::string id, release_version base_version);

    release_note_builder& comment(std::string text);

    // Replaces all changes to one kind of object.
    release_note_builder& services(note_part<service_spec> part);
    release_note_builder& targets(note_part<target_spec> part);
    release_note_builder& rules(note_part<rule_spec> part);

    // Adds one entry to the note.
    release_note_builder& add(const service_spec& spec);
    release_note_builder& add(const target_spec& spec);
    release_note_builder& add(const rule_spec& spec);
    release_note_builder& change_service(const spec_change& change);
    release_note_builder& change_target(const spec_change& change);
    release_note_builder& change_rule(const spec_change& change);
    release_note_builder& withdraw_service(const std::string& name);
    release_note_builder& withdraw_target(const std::string& name);
    release_note_builder& withdraw_rule(const std::string& name);

    // Returns the note, or release_invalid with the object and its error. The
    // error also names the location, for notes read from a file.
    absl::StatusOr<release_note>
    build(const yaml_location& location = {}) const;

private:
    release_note note_;
};

} // namespace anvilturn

#endif
