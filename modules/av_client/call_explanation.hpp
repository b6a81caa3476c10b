#ifndef AV_CLIENT_CALL_EXPLANATION_HPP
#define AV_CLIENT_CALL_EXPLANATION_HPP

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace anvilturn
{

// One call, explained from the logs of the VMs.
struct call_explanation
{
    // The log lines of the call, in the order of their time_ms.
    std::vector<std::string> lines_;
    // Outcome of the call, its cause and its attempts, in one sentence.
    std::string summary_;
};

// Returns the log lines whose field "call" is the id.
std::vector<std::string> find_call_lines(std::string_view id,
                                         std::istream& log);

// Sorts the lines of one call by time and summarizes them. Lines that are not
// in the log format are kept, but don't contribute to the summary.
call_explanation explain_call(std::string_view id,
                              std::vector<std::string> lines);

} // namespace anvilturn

#endif
