#ifndef AV_MODEL_TARGET_SPEC_HPP
#define AV_MODEL_TARGET_SPEC_HPP

#include <av_core/comparison.hpp>

#include <av_core/milliseconds.hpp>

#include <cstdint>
#include <string>
#include <tuple>

namespace anvilturn
{

// The configuration of one target in a release.
struct target_spec
{
    // Unique in the release.
    std::string name_;
    std::string service_;
    // IP address and port, such as "10.1.0.17:8080".
    std::string address_;
    std::string failure_domain_;
    // Number of calls that the target runs concurrently.
    int slots_ = 6;
    // Maximum number of connections that the target accepts from all VMs
    // together.
    int connection_limit_ = 330;
    // A draining target finishes its current calls and gets no new ones.
    bool draining_ = false;
    // Distinguishes successive starts of a target under the same name; a later
    // start has a higher number. Zero if unknown.
    std::int64_t incarnation_ = 0;
    // How much longer the target is cold, as of when it last registered; zero
    // if it is warm.
    milliseconds cold_for_{0.0};
    // Store revision of the last registration of a cold target; zero if it is
    // warm. A new revision restarts the cold time, also if cold_for_ is
    // unchanged.
    std::uint64_t cold_revision_ = 0;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(name_,
                        service_,
                        address_,
                        failure_domain_,
                        slots_,
                        connection_limit_,
                        draining_,
                        incarnation_,
                        cold_for_,
                        cold_revision_);
    }

    friend bool operator==(const target_spec& a, const target_spec& b)
    {
        return a.tie() == b.tie();
    }

    friend bool operator!=(const target_spec& a, const target_spec& b)
    {
        return !(a == b);
    }
};

} // namespace anvilturn

#endif
