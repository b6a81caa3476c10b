#ifndef AV_MODEL_RELEASE_HPP
#define AV_MODEL_RELEASE_HPP

#include <av_core/comparison.hpp>

#include <av_model/account_spec.hpp>
#include <av_model/rule_spec.hpp>
#include <av_model/service_spec.hpp>
#include <av_model/target_spec.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace anvilturn
{

// Identifies one state of the configuration. The version is incremented by one
// with each accepted release note; no two accepted notes share a version.
using release_version = std::uint64_t;

// The complete configuration after a release note was accepted.
struct release
{
    // Zero before the first note is accepted.
    release_version version_ = 0;
    // Id of the note that was accepted last.
    std::string note_id_;
    std::map<std::string, service_spec> services_;
    std::map<std::string, target_spec> targets_;
    std::map<std::string, rule_spec> rules_;
    // By name. If there are any, callers need a key; see rule_spec::public_.
    std::map<std::string, account_spec> accounts_;
    // The version that last changed or removed each object, by "service/NAME",
    // "target/NAME" or "rule/NAME". Used to detect conflicting notes.
    std::map<std::string, release_version> changed_in_;
    // Ids of the most recently accepted notes by version, newest last; older
    // ones are removed. Used to determine whether a note was accepted.
    std::map<release_version, std::string> recent_notes_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(version_,
                        note_id_,
                        services_,
                        targets_,
                        rules_,
                        accounts_,
                        changed_in_,
                        recent_notes_);
    }

    friend bool operator==(const release& a, const release& b)
    {
        return a.tie() == b.tie();
    }

    friend bool operator!=(const release& a, const release& b)
    {
        return !(a == b);
    }
};

} // namespace anvilturn

#endif
