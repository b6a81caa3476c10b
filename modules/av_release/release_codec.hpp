#ifndef AV_RELEASE_RELEASE_CODEC_HPP
#define AV_RELEASE_RELEASE_CODEC_HPP

#include <av_model/release.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace anvilturn
{

// Largest written release, in bytes, that parse_release reads.
constexpr std::size_t release_bytes_limit = 1'000'000;

// Writes the release as YAML, one object per line. All members are written, so
// that a program with other defaults reads the same release. Equal releases
// give the same text.
std::string write_release(const release& value);

// Reads a release that write_release wrote. The error is platform_malformed,
// with the line, the key, the allowed values and the source, such as "platform"
// or the name of a VM. Each object and the consistency of the release are
// checked, except that any choice policy is allowed: a VM must not refuse a
// release in force because it does not have one of the policies.
absl::StatusOr<release> parse_release(std::string_view text,
                                      std::string_view source);

// Returns the first 16 hexadecimal digits of the SHA-256 of the written
// release. VMs with the same version in force must have the same digest.
std::string digest_of(const release& value);

} // namespace anvilturn

#endif
