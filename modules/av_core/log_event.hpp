#ifndef AV_CORE_LOG_EVENT_HPP
#define AV_CORE_LOG_EVENT_HPP

#include <absl/status/status.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace anvilturn
{

enum class log_level
{
    debug,
    info,
    warning,
    error
};

// Builds one log line of key=value pairs. The line goes to standard output when
// write is called: VMs have no disks. Writing never blocks, and the lines of a
// process are bounded, see log_budget; what is left out is counted. Values that
// hold spaces, quotes or control characters are quoted and escaped, so that a
// line stays one line.
class log_event
{
public:
    log_event(log_level level, std::string_view event);

    log_event& field(std::string_view key, std::string_view value);
    log_event& field(std::string_view key, const char* value);
    log_event& field(std::string_view key, std::int64_t value);
    log_event& field(std::string_view key, std::uint64_t value);
    log_event& field(std::string_view key, int value);
    log_event& field(std::string_view key, double value);
    log_event& field(std::string_view key, bool value);
    log_event& field(std::string_view key, const absl::Status& value);

    // Returns the line so far, without its time stamp.
    const std::string& text() const noexcept;

    // Writes the line, unless its level is below the one that was set.
    void write() const;

private:
    log_level level_;
    std::string event_;
    std::string text_;
};

// Returns how many lines were left out since the start.
std::uint64_t dropped_log_lines() noexcept;

// Sets the lowest level that is written, and the name of this process that
// stands in each line. Call it once at the start of a program.
void configure_logging(log_level lowest, std::string_view process_name);

// Returns whether lines of the level are written; ask before building lines
// on the path of a request.
bool is_logged(log_level level) noexcept;

} // namespace anvilturn

#endif
