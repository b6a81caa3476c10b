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

// Builds one log line of key=value pairs. write() prints it to standard output,
// as VMs have no disks. Writing never blocks: lines are dropped and counted
// when the reader of the output does not keep up or the rate exceeds the limits
// of log_rate_limiter. Values that are empty or contain spaces, quotes, equals
// signs or control characters are quoted and escaped, so that an event is
// always a single line. Long values are shortened and end with "...".
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

    // Returns the fields added so far, without time stamp and level.
    const std::string& text() const noexcept;

    // Writes the line unless its level is below that given to
    // configure_logging.
    void write() const;

private:
    log_level level_;
    std::string event_;
    std::string text_;
};

// Returns the number of lines dropped since the process started.
std::uint64_t dropped_log_lines() noexcept;

// Sets the lowest level that is written, and the name of this process, which
// each line contains. Call it once at the start of a program.
void configure_logging(log_level lowest, std::string_view process_name);

// Returns whether lines of the level are written. Check it before building
// lines on the request path.
bool is_logged(log_level level) noexcept;

} // namespace anvilturn

#endif
