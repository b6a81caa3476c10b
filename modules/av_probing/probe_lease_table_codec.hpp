#ifndef AV_PROBING_PROBE_LEASE_TABLE_CODEC_HPP
#define AV_PROBING_PROBE_LEASE_TABLE_CODEC_HPP

#include <av_probing/probe_lease_table.hpp>

#include <absl/status/statusor.h>

#include <string>

namespace anvilturn
{

// Returns the table as YAML, the format of the platform's object.
std::string format_probe_lease_table(const probe_lease_table& table);

// Parses a table. Error: platform_malformed if the text is no valid table; the
// leases are then unknown, and no VM sends probes.
absl::StatusOr<probe_lease_table>
parse_probe_lease_table(const std::string& text);

} // namespace anvilturn

#endif
