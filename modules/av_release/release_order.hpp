#ifndef AV_RELEASE_RELEASE_ORDER_HPP
#define AV_RELEASE_RELEASE_ORDER_HPP

#include <av_model/release.hpp>

namespace anvilturn
{

// How an offered release stands to the one in force.
enum class release_order
{
    // Its version is higher: it is to be adopted.
    newer,
    // The same release.
    same,
    // Its version is lower: a stale read or a VM that is behind.
    older,
    // The same version with other content, which accepted notes can't bring
    // about: the platform's object was replaced by other means.
    diverged
};

// Compares an offer with the release in force.
release_order compare_releases(const release& in_force, const release& offered);

// Returns whichever is to be in force from now on: the offer if its version is
// higher, else what is in force. The version in force never falls, in whatever
// order offers arrive and however often. The result is one of the arguments.
const release& newer_release(const release& in_force, const release& offered);

} // namespace anvilturn

#endif
