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

// Reads key=value pairs; a value in quotes may hold spaces.
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

std::string field_value(const fields& line, std::string_view key)
{
    const auto found = line.find(key);
    return found == line.end() ? std::string() : found->second;
}

double log_time_ms(const std::string& line)
{
    return std::strtod(field_value(read_fields(line), "time_ms").c_str(),
                       nullptr);
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

// What the lines tell before the last one.
struct call_summary
{
    int attempts_ = 0;
    std::string waited_ms_;
    std::string target_;
    // Why the attempts that failed did so, in their order.
    std::string attempt_failures_;
    std::optional<fields> end_;
};

call_summary summarize_call(const std::vector<std::string>& lines)
{
    call_summary course;
    for (const auto& line : lines)
    {
        const auto values = read_fields(line);
        const auto event = field_value(values, "event");
        if (event == "call_sent")
        {
            ++course.attempts_;
            course.waited_ms_ = field_value(values, "waited_ms");
            course.target_ = field_value(values, "target");
        }
        else if (event == "attempt_ended")
        {
            course.attempt_failures_ +=
                (course.attempt_failures_.empty() ? "" : ", then ") +
                field_value(values, "reason") + " at " +
                field_value(values, "target") + " after " +
                field_value(values, "ran_ms") + " ms";
        }
        else if (event == "call_ended")
        {
            course.end_ = values;
        }
    }
    return course;
}

// How the targets looked when the call was refused, if its VM said so.
std::string describe_targets(const call_summary& course)
{
    if (!course.end_ || field_value(*course.end_, "eligible").empty())
    {
        return {};
    }
    const auto& end = *course.end_;
    return ": of " + field_value(end, "eligible") + " that may get work " +
           field_value(end, "full") + " were full and " +
           field_value(end, "slowed") + " slowed, the newest report " +
           field_value(end, "newest_report_ms") + " ms old";
}

std::string describe_attempts(const call_summary& course)
{
    if (course.attempts_ == 0)
    {
        return "it was sent to no target" + describe_targets(course);
    }
    std::string text = "it was sent " + std::to_string(course.attempts_) +
                       " times, last to " + course.target_ + " after " +
                       course.waited_ms_ + " ms";
    if (!course.attempt_failures_.empty())
    {
        text += " (" + course.attempt_failures_ + ")";
    }
    return text;
}

std::string describe_outcome(const fields& end)
{
    const auto outcome = field_value(end, "outcome");
    const auto took = field_value(end, "took_ms");
    if (outcome == "answered")
    {
        return "Answered after " + took + " ms";
    }
    const auto reason = field_value(end, "reason");
    const std::string what =
        outcome == "not-run" ? "Refused as not run" : "Failed, may have run";
    return what + " after " + took + " ms: " + reason + " (" +
           remedy_of(reason) + ")";
}

} // namespace

std::vector<std::string> find_call_lines(std::string_view id, std::istream& log)
{
    std::vector<std::string> result;
    std::string line;
    while (std::getline(log, line))
    {
        if (field_value(read_fields(line), "call") == id)
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
                         return log_time_ms(a) < log_time_ms(b);
                     });
    const auto course = summarize_call(lines);
    call_explanation result;
    if (lines.empty())
    {
        result.summary_ = "No line names call " + std::string(id) +
                          "; its VM may have left lines out "
                          "(event=log_lines_left_out), or the call never came.";
    }
    else if (!course.end_)
    {
        result.summary_ = "The call did not end in these logs; " +
                          describe_attempts(course) + ".";
    }
    else
    {
        result.summary_ = describe_outcome(*course.end_) + "; " +
                          describe_attempts(course) + ".";
    }
    result.lines_ = std::move(lines);
    return result;
}

} // namespace anvilturn
