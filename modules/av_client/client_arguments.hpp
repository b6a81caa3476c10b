#ifndef AV_CLIENT_CLIENT_ARGUMENTS_HPP
#define AV_CLIENT_CLIENT_ARGUMENTS_HPP

#include <av_core/comparison.hpp>
#include <av_core/milliseconds.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace anvilturn
{

enum class client_command
{
    release_apply,
    release_status,
    release_history,
    release_show,
    release_settle,
    dump,
    vms,
    targets,
    drain,
    undrain,
    check_note,
    explain,
    print_help,
    print_version
};

enum class output_format
{
    // Human-readable tables and lines; a release or a dump stays YAML.
    text,
    // The VM's response unchanged, for scripts.
    yaml
};

// The command line of anvilturnctl.
struct client_arguments
{
    client_command command_ = client_command::print_help;
    // Note file, note id, target, VM address or call id, by the command; else
    // empty.
    std::string operand_;
    // Operator addresses of VMs, tried in this order.
    std::vector<std::string> vms_;
    output_format output_ = output_format::text;
    // Time limit of one request to one VM.
    milliseconds timeout_{30000.0};
    // Log files of the command explain; empty for standard input.
    std::vector<std::string> files_{};

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(command_, operand_, vms_, output_, timeout_, files_);
    }
};

// Returns the help text of anvilturnctl.
std::string_view client_usage();

// Parses the command line, without the program's name. Without --vm, the VMs
// are taken from default_vms, the value of the environment variable
// ANVILTURN_VM: a list separated by commas. Error: usage_invalid if the command
// line is not as the help text says.
absl::StatusOr<client_arguments>
parse_client_arguments(const std::vector<std::string>& arguments,
                       std::string_view default_vms);

} // namespace anvilturn

#endif
