#ifndef AV_SETTINGS_DAEMON_ARGUMENTS_HPP
#define AV_SETTINGS_DAEMON_ARGUMENTS_HPP

#include <av_core/comparison.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace anvilturn
{

// Action selected on the command line of anvilturnd.
enum class daemon_action
{
    serve,
    check_settings,
    print_settings_reference,
    print_help,
    print_version
};

// The command line of anvilturnd.
struct daemon_arguments
{
    daemon_action action_ = daemon_action::serve;
    // Empty for the actions that only print a text.
    std::string settings_file_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(action_, settings_file_);
    }
};

// Returns the help text of anvilturnd.
std::string_view daemon_usage();

// Returns the version of the program, such as "anvilturn 0.1.0".
std::string_view program_version();

// Parses the arguments, without the program's name. Returns usage_invalid if
// they do not match the usage in the help text.
absl::StatusOr<daemon_arguments>
parse_daemon_arguments(const std::vector<std::string>& arguments);

} // namespace anvilturn

#endif
