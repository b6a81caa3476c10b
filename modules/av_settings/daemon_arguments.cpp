#include <av_settings/daemon_arguments.hpp>

#include <av_core/error.hpp>

#include <docopt/docopt.h>

#include <map>

namespace anvilturn
{
namespace
{

constexpr std::string_view usage_text =
    R"(anvilturnd: load balancer daemon, one on each VM

Usage:
  anvilturnd --settings=FILE [--check-settings]
  anvilturnd --settings-reference
  anvilturnd --help
  anvilturnd --version

Options:
  --settings=FILE       YAML file with the settings of this VM
  --check-settings      check the settings, print the result and exit
  --settings-reference  print every setting with its range and default
  -h --help             print this text
  --version             print the version

Signals:
  SIGTERM, SIGINT       graceful shutdown
  SIGHUP                reload the settings; only the log level changes

Exit codes:
  0  shut down on request, or the settings are valid
  1  the settings are invalid or can't be used
  2  the command line is invalid
)";

daemon_action action_of(std::map<std::string, docopt::value>& parsed)
{
    if (parsed["--help"].asBool())
    {
        return daemon_action::print_help;
    }
    if (parsed["--version"].asBool())
    {
        return daemon_action::print_version;
    }
    if (parsed["--settings-reference"].asBool())
    {
        return daemon_action::print_settings_reference;
    }
    return parsed["--check-settings"].asBool() ? daemon_action::check_settings
                                               : daemon_action::serve;
}

} // namespace

std::string_view daemon_usage()
{
    return usage_text;
}

std::string_view program_version()
{
    return "anvilturn 0.1.0";
}

absl::StatusOr<daemon_arguments>
parse_daemon_arguments(const std::vector<std::string>& arguments)
{
    try
    {
        auto parsed = docopt::docopt_parse(
            std::string(usage_text), arguments, false, false);
        daemon_arguments result;
        result.action_ = action_of(parsed);
        if (parsed["--settings"].isString())
        {
            result.settings_file_ = parsed["--settings"].asString();
        }
        return result;
    }
    catch (const docopt::DocoptArgumentError& error)
    {
        return make_error(error_kind::usage_invalid,
                          std::string("anvilturnd: ") + error.what());
    }
}

} // namespace anvilturn
