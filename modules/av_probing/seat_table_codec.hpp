#ifndef AV_PROBING_SEAT_TABLE_CODEC_HPP
#define AV_PROBING_SEAT_TABLE_CODEC_HPP

#include <av_probing/seat_table.hpp>

#include <absl/status/statusor.h>

#include <string>

namespace anvilturn
{

// Returns the table as YAML, the format of the platform's object.
std::string format_seat_table(const seat_table& table);

// Parses a table. Error: platform_malformed if the text is no valid table; the
// leases are then unknown, and no VM sends probes.
absl::StatusOr<seat_table> parse_seat_table(const std::string& text);

} // namespace anvilturn

#endif
