#ifndef AV_PEER_PEER_MESSAGE_HPP
#define AV_PEER_PEER_MESSAGE_HPP

#include <av_core/comparison.hpp>

#include <av_membership/membership_digest.hpp>
#include <av_model/release.hpp>
#include <av_spread/sequenced_notice.hpp>

#include <string>
#include <tuple>
#include <vector>

namespace anvilturn
{

// The message of an exchange, in either direction, and of a pushed update.
struct peer_message
{
    std::string deployment_;
    membership_digest members_;
    // The sender's current release.
    release_version release_ = 0;
    std::string release_digest_;
    // Whether the sender requests all notices about states of targets, not only
    // recent ones.
    bool refresh_ = false;
    std::vector<sequenced_notice> notices_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(deployment_,
                        members_,
                        release_,
                        release_digest_,
                        refresh_,
                        notices_);
    }
};

} // namespace anvilturn

#endif
