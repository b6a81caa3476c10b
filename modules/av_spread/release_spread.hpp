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

// Stands for the platform as the source of a release.
constexpr std::uint64_t platform_source = 0;

// One VM's knowledge of releases. The version that it holds only grows.
struct release_spread_state
{
    // The newest release that this VM has, whole.
    release_version held_ = 0;
    std::string current_digest_;
    // The newest version that anyone spoke of, and who has it: incarnations
    // of VMs, or platform_source.
    release_version newest_known_ = 0;
    std::vector<std::uint64_t> sources_;
    // The fetch that is under way.
    std::optional<std::uint64_t> fetching_from_;
    // A VM that starts asks several sources before it serves.
    milliseconds started_at_{0.0};
    bool serving_ = false;
    bool platform_answered_ = false;
    std::vector<std::uint64_t> peers_answered_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(held_,
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

// What a VM does with a release that it was given.
enum class release_classification
{
    // It is newer: hold it and tell others.
    taken,
    // This VM has it, or a newer one.
    known,
    // Same version, other content: two histories. It must be refused.
    conflicting
};

// Returns the state of a VM that has just started and holds nothing.
release_spread_state start_release_spread(milliseconds now);

// Notes that a source has the version. Older news is ignored.
release_spread_state record_release_source(release_spread_state state,
                                           release_version version,
                                           std::uint64_t source);

// Notes that a source answered, with whatever version: it counts towards the
// sources that a starting VM asks.
release_spread_state record_source_answer(release_spread_state state,
                                          std::uint64_t source);

// Returns the source to fetch from now; nothing while a fetch is under way or
// nothing newer is known of. The random number spreads the load.
std::optional<std::uint64_t>
select_fetch_source(const release_spread_state& state, std::uint64_t random);

// Notes that a fetch from the source began.
release_spread_state on_fetch_started(release_spread_state state,
                                      std::uint64_t source);

// Notes that the fetch under way failed: its source is asked again only when
// it speaks of the version anew.
release_spread_state on_fetch_ended(release_spread_state state);

// Returns what is to be done with a release of this version and digest.
release_classification classify_release(const release_spread_state& state,
                                        release_version version,
                                        const std::string& digest);

// Takes a release that was judged as taken.
release_spread_state take_release(release_spread_state state,
                                  release_version version,
                                  const std::string& digest);

// Lets a starting VM serve once it holds a release and enough sources
// answered, or the wait is over. Once serving, always serving.
release_spread_state decide_serving(release_spread_state state,
                                    std::size_t known_peers,
                                    milliseconds now);

} // namespace anvilturn

#endif
