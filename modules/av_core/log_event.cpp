#include <av_core/log_event.hpp>

#include <av_core/line_output.hpp>
#include <av_core/log_rate_limiter.hpp>
#include <av_core/monotonic_clock.hpp>

#include <easylogging++.h>

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <mutex>

INITIALIZE_EASYLOGGINGPP

namespace anvilturn
{
namespace
{

std::atomic<log_level> lowest_level{log_level::info};
std::atomic<std::uint64_t> dropped_line_count{0};

std::mutex limiter_mutex;
log_rate_limiter limiter;

// Most bytes of one value, and of all fields of a line. With the name of the
// process, the time and the keys a line stays below max_line_bytes.
constexpr std::size_t max_value_bytes = 2048;
constexpr std::size_t max_text_bytes = 3300;
constexpr std::string_view cut_mark = "...";

// Name of this process, which each line contains.
std::string process_name_in_lines;

std::string format_line(std::string_view level, std::string_view text)
{
    char buffer[32];
    const int size =
        std::snprintf(buffer, sizeof buffer, "%.3f", wall_clock_now().count());
    std::string line = "time_ms=";
    line.append(buffer, static_cast<std::size_t>(size));
    line.append(" level=").append(level);
    line.append(" ").append(text);
    return line;
}

// Writes lines to standard output. Drops whole lines when the reader of the
// output does not keep up, so that logging never blocks, and logs their number
// once there is room again.
class standard_output_sink : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData* data) noexcept override
    {
        const auto* const message = data->logMessage();
        const auto line = message->logger()->logBuilder()->build(message, true);
        const std::lock_guard<std::mutex> lock(mutex_);
        // In one write, so that notices don't use up the room for lines.
        if (output_.write(unreported_ > 0 ? format_notice() + line : line))
        {
            unreported_ = 0;
            return;
        }
        ++unreported_;
        dropped_line_count.fetch_add(1, std::memory_order_relaxed);
    }

private:
    std::string format_notice() const
    {
        return "process=" + process_name_in_lines + " " +
               format_line("warning",
                           "event=log_lines_dropped count=" +
                               std::to_string(unreported_)) +
               "\n";
    }

    std::mutex mutex_;
    line_output output_{STDOUT_FILENO};
    // Lines dropped since the last notice.
    std::uint64_t unreported_ = 0;
};

void log_line(std::string_view level, std::string_view text)
{
    LOG(INFO) << format_line(level, text);
}

// Returns whether the line may be written, and logs how many lines of one event
// were dropped before, if any.
bool admit_event(std::string_view event, bool urgent)
{
    const std::lock_guard<std::mutex> lock(limiter_mutex);
    const auto now = monotonic_now();
    const bool admitted = admit_line(limiter, event, urgent, now);
    if (!admitted)
    {
        dropped_line_count.fetch_add(1, std::memory_order_relaxed);
    }
    if (const auto dropped = take_dropped_lines(limiter, now))
    {
        log_line("warning",
                 "event=log_lines_left_out left_out_event=" + dropped->first +
                     " count=" + std::to_string(dropped->second));
    }
    return admitted;
}

std::string_view level_name(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

bool needs_quotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(),
                                        value.end(),
                                        [](unsigned char c)
                                        {
                                            return c <= ' ' || c == '"' ||
                                                   c == '=';
                                        });
}

// Returns whether the byte begins a character in UTF-8.
bool begins_character(char byte)
{
    return (static_cast<unsigned char>(byte) & 0xc0U) != 0x80U;
}

void append_quoted(std::string& text, std::string_view value, std::size_t limit)
{
    const auto start = text.size();
    text += '"';
    for (const char c : value)
    {
        if (text.size() - start > limit && begins_character(c))
        {
            text += cut_mark;
            break;
        }
        if (c == '"' || c == '\\')
        {
            text += '\\';
            text += c;
        }
        else if (static_cast<unsigned char>(c) < ' ')
        {
            char escaped[8];
            std::snprintf(escaped, sizeof escaped, "\\x%02x", c);
            text += escaped;
        }
        else
        {
            text += c;
        }
    }
    text += '"';
}

std::string_view format_double(double value, char (&buffer)[32])
{
    const int size = std::snprintf(buffer, sizeof buffer, "%.3f", value);
    return {buffer, static_cast<std::size_t>(size)};
}

} // namespace

log_event::log_event(log_level level, std::string_view event)
    : level_(level)
    , event_(event)
{
    field("event", event);
}

log_event& log_event::field(std::string_view key, std::string_view value)
{
    if (!text_.empty())
    {
        text_ += ' ';
    }
    text_ += key;
    text_ += '=';
    const auto limit =
        std::min(max_value_bytes,
                 max_text_bytes - std::min(max_text_bytes, text_.size()));
    if (needs_quotes(value))
    {
        append_quoted(text_, value, limit);
        return *this;
    }
    auto size = std::min(limit, value.size());
    while (size < value.size() && size > 0 && !begins_character(value[size]))
    {
        --size;
    }
    text_ += value.substr(0, size);
    if (size < value.size())
    {
        text_ += cut_mark;
    }
    return *this;
}

log_event& log_event::field(std::string_view key, const char* value)
{
    return field(key, std::string_view(value));
}

log_event& log_event::field(std::string_view key, std::int64_t value)
{
    return field(key, std::string_view(std::to_string(value)));
}

log_event& log_event::field(std::string_view key, std::uint64_t value)
{
    return field(key, std::string_view(std::to_string(value)));
}

log_event& log_event::field(std::string_view key, int value)
{
    return field(key, static_cast<std::int64_t>(value));
}

log_event& log_event::field(std::string_view key, double value)
{
    char buffer[32];
    return field(key, format_double(value, buffer));
}

log_event& log_event::field(std::string_view key, bool value)
{
    return field(key, std::string_view(value ? "true" : "false"));
}

log_event& log_event::field(std::string_view key, const absl::Status& value)
{
    return field(
        key, std::string_view(value.message().data(), value.message().size()));
}

const std::string& log_event::text() const noexcept
{
    return text_;
}

void log_event::write() const
{
    if (is_logged(level_) && admit_event(event_, level_ >= log_level::warning))
    {
        log_line(level_name(level_), text_);
    }
}

std::uint64_t dropped_log_lines() noexcept
{
    return dropped_line_count.load(std::memory_order_relaxed);
}

void configure_logging(log_level lowest, std::string_view process_name)
{
    lowest_level = lowest;
    std::string name(process_name);
    std::replace(name.begin(), name.end(), '%', '_');
    el::Configurations configuration;
    configuration.setToDefault();
    // Threads that log may be reading it, and it is the same each time.
    if (process_name_in_lines != name)
    {
        process_name_in_lines = name;
    }
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format,
                              "process=" + name + " %msg");
    el::Loggers::reconfigureAllLoggers(configuration);
    el::Helpers::uninstallLogDispatchCallback<
        el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<standard_output_sink>(
        "standard_output");
}

bool is_logged(log_level level) noexcept
{
    return level >= lowest_level.load(std::memory_order_relaxed);
}

} // namespace anvilturn
