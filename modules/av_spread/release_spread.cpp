#include <av_spread/release_spread.hpp>

#include <algorithm>
#include <cassert>

namespace anvilturn
{
namespace
{

constexpr milliseconds startup_confirmation_timeout{2000.0};
constexpr std::size_t peers_required_at_startup = 3;
constexpr std::size_t max_sources = 8;

template <typename Value>
void add_if_absent(std::vector<Value>& values, const Value& value)
{
    if (values.size() < max_sources &&
        std::find(values.begin(), values.end(), value) == values.end())
    {
        values.push_back(value);
    }
}

} // namespace

release_spread_state start_release_spread(milliseconds now)
{
    release_spread_state state;
    state.started_at_ = now;
    return state;
}

release_spread_state record_release_source(release_spread_state state,
                                           release_version version,
                                           std::uint64_t source)
{
    if (version <= state.held_ || version < state.newest_known_)
    {
        return state;
    }
    if (version > state.newest_known_)
    {
        state.newest_known_ = version;
        state.sources_.clear();
    }
    add_if_absent(state.sources_, source);
    return state;
}

release_spread_state record_source_answer(release_spread_state state,
                                          std::uint64_t source)
{
    if (state.serving_)
    {
        return state;
    }
    if (source == platform_source)
    {
        state.platform_answered_ = true;
        return state;
    }
    add_if_absent(state.peers_answered_, source);
    return state;
}

std::optional<std::uint64_t>
select_fetch_source(const release_spread_state& state, std::uint64_t random)
{
    if (state.fetching_from_ || state.sources_.empty() ||
        state.newest_known_ <= state.held_)
    {
        return std::nullopt;
    }
    return state.sources_[random % state.sources_.size()];
}

release_spread_state on_fetch_started(release_spread_state state,
                                      std::uint64_t source)
{
    assert(!state.fetching_from_);
    state.fetching_from_ = source;
    return state;
}

release_spread_state on_fetch_ended(release_spread_state state)
{
    if (state.fetching_from_)
    {
        auto& sources = state.sources_;
        sources.erase(
            std::remove(sources.begin(), sources.end(), *state.fetching_from_),
            sources.end());
    }
    state.fetching_from_.reset();
    return state;
}

release_classification classify_release(const release_spread_state& state,
                                        release_version version,
                                        const std::string& digest)
{
    if (version > state.held_)
    {
        return release_classification::taken;
    }
    if (version == state.held_ && digest != state.current_digest_)
    {
        return release_classification::conflicting;
    }
    return release_classification::known;
}

release_spread_state take_release(release_spread_state state,
                                  release_version version,
                                  const std::string& digest)
{
    assert(version > state.held_);
    state.held_ = version;
    state.current_digest_ = digest;
    state.fetching_from_.reset();
    if (state.newest_known_ <= version)
    {
        state.newest_known_ = version;
        state.sources_.clear();
    }
    return state;
}

release_spread_state decide_serving(release_spread_state state,
                                    std::size_t known_peers,
                                    milliseconds now)
{
    if (state.serving_ || state.held_ == 0)
    {
        return state;
    }
    const bool enough_peers = state.peers_answered_.size() >=
                              std::min(known_peers, peers_required_at_startup);
    const bool all_answered = enough_peers && state.platform_answered_ &&
                              state.newest_known_ <= state.held_;
    state.serving_ =
        all_answered || now - state.started_at_ >= startup_confirmation_timeout;
    return state;
}

} // namespace anvilturn
