#ifndef AV_PLATFORM_PLATFORM_CODEC_HPP
#define AV_PLATFORM_PLATFORM_CODEC_HPP

#include <av_platform/platform_changes.hpp>
#include <av_platform/platform_listing.hpp>
#include <av_platform/platform_object.hpp>
#include <av_platform/platform_vm.hpp>

#include <absl/status/statusor.h>

#include <string_view>
#include <vector>

namespace anvilturn
{

// Parsers of the platform's responses. Whatever differs from docs/PROTOCOLS.md
// gives platform_malformed, but undocumented members are ignored, so that the
// platform may add some.

// Parses the value of an ETag header field, such as "\"7\"".
absl::StatusOr<object_version> parse_etag(std::string_view text);

absl::StatusOr<platform_listing> parse_listing(std::string_view json);

absl::StatusOr<platform_changes> parse_changes(std::string_view json);

absl::StatusOr<std::vector<platform_vm>> parse_vm_list(std::string_view json);

} // namespace anvilturn

#endif
