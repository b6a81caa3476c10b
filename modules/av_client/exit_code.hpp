#ifndef AV_CLIENT_EXIT_CODE_HPP
#define AV_CLIENT_EXIT_CODE_HPP

#include <absl/status/status.h>

namespace anvilturn
{

// Exit codes of anvilturnctl; its help text documents them.
enum class exit_code
{
    success = 0,
    refused = 1,
    usage = 2,
    conflict = 3,
    unknown_outcome = 4,
    unreachable = 5
};

// Returns the exit code for an error of this program or of a VM.
exit_code exit_code_of(const absl::Status& status);

// Returns the exit code for the HTTP status of a VM's response; a status that
// is none of 200, 409 and 504 counts as refused.
exit_code exit_code_of(unsigned http_status);

} // namespace anvilturn

#endif
