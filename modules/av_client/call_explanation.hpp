#ifndef AV_CLIENT_CALL_EXPLANATION_HPP
#define AV_CLIENT_CALL_EXPLANATION_HPP

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace anvilturn
{

// What the logs of the VMs say of one call.
struct call_explanation
{
    // The lines that name the call, in the order of their time.
    std::vector<std::string> lines_;
    // The cause of what became of it, in one sentence.
    std::string summary_;
};

// Returns the lines of the logs that name the call.
std::vector<std::string> find_call_lines(std::string_view id,
                                         std::istream& log);

// Puts the lines in order and says what became of the call. Lines that are not
// of the log's format are kept, but say nothing.
call_explanation explain_call(std::string_view id,
                              std::vector<std::string> lines);

} // namespace anvilturn

#endif
