#ifndef AV_RELEASE_RELEASE_NOTE_HPP
#define AV_RELEASE_RELEASE_NOTE_HPP

#include <av_core/comparison.hpp>
#include <av_model/release.hpp>
#include <av_yaml/yaml_value.hpp>

#include <string>
#include <tuple>
#include <vector>

namespace anvilturn
{

// New values for some members of an existing object.
struct spec_change
{
    std::string name_;
    // The members as written in the note; types and ranges are checked.
    std::vector<yaml_member> members_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(name_, members_);
    }
};

// The changes of a note to one kind of object.
template <typename Spec>
struct note_part
{
    std::vector<Spec> added_;
    std::vector<spec_change> changed_;
    // Names of the withdrawn objects.
    std::vector<std::string> withdrawn_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(added_, changed_, withdrawn_);
    }
};

class release_note_builder;

// A change set: the objects to add, change and withdraw, written against a base
// version of the release. Created by release_note_builder only, which ensures
// that each object is listed once and each member is within its range.
class release_note
{
public:
    // Must never be reused: it identifies the note when the outcome of its
    // acceptance is settled.
    const std::string& id() const noexcept
    {
        return id_;
    }

    // The version of the release that the note was written against.
    release_version base_version() const noexcept
    {
        return base_version_;
    }

    // Free text for operators; not stored in the release.
    const std::string& comment() const noexcept
    {
        return comment_;
    }

    const note_part<service_spec>& services() const noexcept
    {
        return services_;
    }

    const note_part<target_spec>& targets() const noexcept
    {
        return targets_;
    }

    const note_part<rule_spec>& rules() const noexcept
    {
        return rules_;
    }

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(
            id_, base_version_, comment_, services_, targets_, rules_);
    }

private:
    friend class release_note_builder;

    release_note() = default;

    std::string id_;
    release_version base_version_ = 0;
    std::string comment_;
    note_part<service_spec> services_;
    note_part<target_spec> targets_;
    note_part<rule_spec> rules_;
};

} // namespace anvilturn

#endif
