#include <av_client/call_explanation.hpp>

#include <av_core/error.hpp>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <optional>

namespace anvilturn
{
namespace
{

using fields = std::map<std::string, std::string, std::less<>>;

// Parses key=value pairs; a value in quotes may contain spaces.
fields read_fields(std::string_view line)
{
    fields result;
    std::size_t at = 0;
    while (at < line.size())
    {
        const auto equals = line.find('=', at);
        if (equals == std::string_view::npos)
        {
            break;
        }
        const auto key_at = line.rfind(' ', equals) + 1;
        const auto key = line.substr(key_at, equals - key_at);
        const bool quoted = line.substr(equals + 1, 1) == "\"";
        const auto from = equals + (quoted ? 2 : 1);
        const auto end =
            std::min(line.find(quoted ? '"' : ' ', from), line.size());
        result.emplace(key, line.substr(from, end - from));
        at = end + 1;
    }
    return result;
}

std::string value_of(const fields& line, std::string_view key)
{
    const auto found = line.find(key);
    return found == line.end() ? std::string() : found->second;
}

double time_of(const std::string& line)
{
    return std::strtod(value_of(read_fields(line), "time_ms").c_str(), nullptr);
}

std::string remedy_of(std::string_view reason)
{
    const auto& catalogue = error_catalogue();
    const auto entry = std::find_if(catalogue.begin(),
                                    catalogue.end(),
                                    [reason](const error_entry& row)
                                    {
                                        return row.name_ == reason;
                                    });
    return entry == catalogue.end() ? std::string()
                                    : std::string(entry->remedy_);
}

// What the log lines of one call report.
struct course_of_call
{
    int attempts_ = 0;
    // Time from the start of the call to its last attempt.
    std::string waited_ms_;
    // Target of the last attempt.
    std::string target_;
    // Reason, target and duration of each failed attempt, in their order.
    std::string losses_;
    // Fields of the line call_ended; nullopt if there is none.
    std::optional<fields> end_;
};

course_of_call read_course(const std::vector<std::string>& lines)
{
    course_of_call course;
    for (const auto& line : lines)
    {
        const auto values = read_fields(line);
        const auto event = value_of(values, "event");
        if (event == "call_sent")
        {
            ++course.attempts_;
            course.waited_ms_ = value_of(values, "waited_ms");
            course.target_ = value_of(values, "target");
        }
        else if (event == "attempt_ended")
        {
            course.losses_ += (course.losses_.empty() ? "" : ", then ") +
                              value_of(values, "reason") + " at " +
                              value_of(values, "target") + " after " +
                              value_of(values, "ran_ms") + " ms";
        }
        else if (event == "call_ended")
        {
            course.end_ = values;
        }
    }
    return course;
}

// Describes the state of the targets when the call was refused; empty if the
// line call_ended has no target summary.
std::string describe_targets(const course_of_call& course)
{
    if (!course.end_ || value_of(*course.end_, "eligible").empty())
    {
        return {};
    }
    const auto& end = *course.end_;
    return ": of " + value_of(end, "eligible") + " eligible targets, " +
           value_of(end, "full") + " were full and " + value_of(end, "slowed") +
           " slowed; the newest load report was " +
           value_of(end, "newest_report_ms") + " ms old";
}

std::string describe_attempts(const course_of_call& course)
{
    if (course.attempts_ == 0)
    {
        return "it was sent to no target" + describe_targets(course);
    }
    std::string text = "attempts: " + std::to_string(course.attempts_) +
                       ", the last to " + course.target_ + " after " +
                       course.waited_ms_ + " ms";
    if (!course.losses_.empty())
    {
        text += " (failed: " + course.losses_ + ")";
    }
    return text;
}

std::string describe_end(const fields& end)
{
    const auto outcome = value_of(end, "outcome");
    const auto took = value_of(end, "took_ms");
    if (outcome == "answered")
    {
        return "Answered after " + took + " ms";
    }
    const auto reason = value_of(end, "reason");
    const std::string what =
        outcome == "not-run" ? "Refused (not run)" : "Failed (may have run)";
    return what + " after " + took + " ms: " + reason + " (" +
           remedy_of(reason) + ")";
}

} // namespace

std::vector<std::string> lines_of_call(std::string_view id, std::istream& log)
{
    std::vector<std::string> result;
    std::string line;
    while (std::getline(log, line))
    {
        if (value_of(read_fields(line), "call") == id)
        {
            result.push_back(line);
        }
    }
    return result;
}

call_explanation explain_call(std::string_view id,
                              std::vector<std::string> lines)
{
    std::stable_sort(lines.begin(),
                     lines.end(),
                     [](const std::string& a, const std::string& b)
                     {
                         return time_of(a) < time_of(b);
                     });
    const auto course = read_course(lines);
    call_explanation result;
    if (lines.empty())
    {
        result.cause_ = "No log line has call=" + std::string(id) +
                        "; its VM may have dropped log lines "
                        "(event=log_lines_left_out), or the call did not "
                        "reach a VM.";
    }
    else if (!course.end_)
    {
        result.cause_ = "These logs do not contain the end of the call; " +
                        describe_attempts(course) + ".";
    }
    else
    {
        result.cause_ =
            describe_end(*course.end_) + "; " + describe_attempts(course) + ".";
    }
    result.lines_ = std::move(lines);
    return result;
}

} // namespace anvilturn
