#ifndef AV_SPREAD_RELEASE_SPREAD_HPP
#define AV_SPREAD_RELEASE_SPREAD_HPP

#include <av_core/comparison.hpp>

#include <av_core/milliseconds.hpp>
#include <av_model/release.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace anvilturn
{

// Denotes the platform as the source of a release; VMs have other incarnations.
constexpr std::uint64_t platform_source = 0;

// One VM's knowledge of releases. Its current version never decreases.
struct release_spread_state
{
    // The newest release that this VM has received completely.
    release_version current_version_ = 0;
    std::string current_digest_;
    // The newest version that any source announced, and the sources that have
    // it: incarnations of VMs, or platform_source.
    release_version newest_known_ = 0;
    std::vector<std::uint64_t> sources_;
    // The source of the fetch in progress.
    std::optional<std::uint64_t> fetching_from_;
    // The time at which this VM started, the sources that answered since, and
    // whether it serves. A starting VM waits for several sources first.
    milliseconds started_at_{0.0};
    bool serving_ = false;
    bool platform_answered_ = false;
    std::vector<std::uint64_t> peers_answered_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(current_version_,
                        current_digest_,
                        newest_known_,
                        sources_,
                        fetching_from_,
                        started_at_,
                        serving_,
                        platform_answered_,
                        peers_answered_);
    }
};

// How a received release relates to the current one.
enum class release_classification
{
    // It is newer: it becomes the current one and is announced to peers.
    newer,
    // This VM has it or a newer one.
    known,
    // Same version with another content, from a diverged history. It must be
    // refused.
    conflicting
};

// Returns the state of a VM that has just started and has no release.
release_spread_state start_release_spread(milliseconds now);

// Records that a source has the version. Ignored if the version is not newer
// than the current one or is older than the newest known one.
release_spread_state record_release_source(release_spread_state state,
                                           release_version version,
                                           std::uint64_t source);

// Records that a source answered, with any version: it counts towards the
// sources for which a starting VM waits.
release_spread_state record_source_answer(release_spread_state state,
                                          std::uint64_t source);

// Returns the source to fetch from; nothing while a fetch is in progress or if
// no newer version is known. The random number spreads the load.
std::optional<std::uint64_t>
select_fetch_source(const release_spread_state& state, std::uint64_t random);

// Records that a fetch from the source began. No other may be in progress.
release_spread_state on_fetch_started(release_spread_state state,
                                      std::uint64_t source);

// Records that the fetch in progress ended, with or without success. Its source
// is used again only after it announces the version again.
release_spread_state on_fetch_ended(release_spread_state state);

// Compares a release of this version and digest with the current one.
release_classification classify_release(const release_spread_state& state,
                                        release_version version,
                                        const std::string& digest);

// Makes the release the current one; it must have been classified as newer.
release_spread_state apply_release(release_spread_state state,
                                   release_version version,
                                   const std::string& digest);

// Lets a starting VM serve once it has a release and either enough sources
// answered and no newer one is known, or startup_confirmation_timeout has
// passed since its start. A serving VM keeps serving.
release_spread_state decide_serving(release_spread_state state,
                                    std::size_t known_peers,
                                    milliseconds now);

} // namespace anvilturn

#endif
