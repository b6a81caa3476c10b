#ifndef AV_SPREAD_RELEASE_DOCUMENT_HPP
#define AV_SPREAD_RELEASE_DOCUMENT_HPP

#include <av_core/comparison.hpp>

#include <av_model/release.hpp>

#include <string>
#include <tuple>

namespace anvilturn
{

// A complete release in the encoded form that is stored and sent. The digest is
// that of the text.
struct release_document
{
    release_version version_ = 0;
    std::string digest_;
    std::string text_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(version_, digest_, text_);
    }
};

} // namespace anvilturn

#endif
