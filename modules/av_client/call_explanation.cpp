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

using log_fields = std::map<std::string, std::string, std::less<>>;

// Parses key=value pairs; a value in quotes may contain spaces.
log_fields parse_log_fields(std::string_view line)
{
    log_fields result;
    std::size_t position = 0;
    while (position < line.size())
    {
        const auto equals = line.find('=', position);
        if (equals == std::string_view::npos)
        {
            break;
        }
        const auto key_start = line.rfind(' ', equals) + 1;
        const auto key = line.substr(key_start, equals - key_start);
        const bool quoted = line.substr(equals + 1, 1) == "\"";
        const auto value_start = equals + (quoted ? 2 : 1);
        const auto end =
            std::min(line.find(quoted ? '"' : ' ', value_start), line.size());
        result.emplace(key, line.substr(value_start, end - value_start));
        position = end + 1;
    }
    return result;
}

std::string field_value(const log_fields& line, std::string_view key)
{
    const auto found = line.find(key);
    return found == line.end() ? std::string() : found->second;
}

double log_time_ms(const std::string& line)
{
    return std::strtod(field_value(parse_log_fields(line), "time_ms").c_str(),
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

// Returns where an attempt of the call went: the name of a target, or of the VM
// that it was forwarded to.
std::string destination_of(const log_fields& line)
{
    const auto vm = field_value(line, "home_vm");
    return vm.empty() ? field_value(line, "target") : "VM " + vm;
}

// What the log lines of one call report.
struct call_summary
{
    int attempts_ = 0;
    // Time from the start of the call to its last attempt.
    std::string waited_ms_;
    // Target or VM of the last attempt.
    std::string destination_;
    // Reason, destination and duration of each failed attempt, in their order.
    std::string attempt_failures_;
    // Fields of the line call_ended; nullopt if there is none.
    std::optional<log_fields> end_fields_;
};

call_summary summarize_call(const std::vector<std::string>& lines)
{
    call_summary summary;
    for (const auto& line : lines)
    {
        const auto values = parse_log_fields(line);
        const auto event = field_value(values, "event");
        if (event == "call_sent")
        {
            ++summary.attempts_;
            summary.waited_ms_ = field_value(values, "waited_ms");
            summary.destination_ = destination_of(values);
        }
        else if (event == "attempt_ended")
        {
            summary.attempt_failures_ +=
                (summary.attempt_failures_.empty() ? "" : ", then ") +
                field_value(values, "reason") + " at " +
                destination_of(values) + " after " +
                field_value(values, "ran_ms") + " ms";
        }
        else if (event == "call_ended")
        {
            summary.end_fields_ = values;
        }
    }
    return summary;
}

// Describes the state of the targets when the call was refused; empty if the
// line call_ended has no target summary.
std::string describe_targets(const call_summary& summary)
{
    if (!summary.end_fields_ ||
        field_value(*summary.end_fields_, "eligible").empty())
    {
        return {};
    }
    const auto& end = *summary.end_fields_;
    const auto report_age = field_value(end, "newest_report_ms");
    const bool has_report = std::strtod(report_age.c_str(), nullptr) >= 0.0;
    return ": of " + field_value(end, "eligible") + " eligible targets, " +
           field_value(end, "full") + " were full and " +
           field_value(end, "slowed") + " slowed; " +
           (has_report ? "the newest load report was " + report_age + " ms old"
                       : "none of them had reported its load");
}

std::string describe_attempts(const call_summary& summary)
{
    if (summary.attempts_ == 0)
    {
        return "it was sent to no target" + describe_targets(summary);
    }
    std::string text = "attempts: " + std::to_string(summary.attempts_) +
                       ", the last to " + summary.destination_ + " after " +
                       summary.waited_ms_ + " ms";
    if (!summary.attempt_failures_.empty())
    {
        text += " (failed: " + summary.attempt_failures_ + ")";
    }
    return text;
}

std::string describe_outcome(const log_fields& end)
{
    const auto outcome = field_value(end, "outcome");
    const auto took = field_value(end, "took_ms");
    if (outcome == "answered")
    {
        return "Answered after " + took + " ms";
    }
    const auto reason = field_value(end, "reason");
    const std::string what =
        outcome == "not-run" ? "Refused (not run)" : "Failed (may have run)";
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
        if (field_value(parse_log_fields(line), "call") == id)
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
    const auto summary = summarize_call(lines);
    call_explanation result;
    if (lines.empty())
    {
        result.summary_ = "No log line has call=" + std::string(id) +
                          "; its VM may have dropped log lines "
                          "(event=log_lines_left_out), or the call did not "
                          "reach a VM.";
    }
    else if (!summary.end_fields_)
    {
        result.summary_ = "These logs do not contain the end of the call; " +
                          describe_attempts(summary) + ".";
    }
    else
    {
        result.summary_ = describe_outcome(*summary.end_fields_) + "; " +
                          describe_attempts(summary) + ".";
    }
    result.lines_ = std::move(lines);
    return result;
}

} // namespace anvilturn
