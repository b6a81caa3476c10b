#include <av_client/client_arguments.hpp>

#include <av_core/error.hpp>
#include <av_yaml/yaml_field_types.hpp>

#include <docopt/docopt.h>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace anvilturn
{
namespace
{

constexpr std::string_view usage_text =
    R"(anvilturnctl: command-line client of anvilturn for operators

Usage:
  anvilturnctl [options] [--vm=ADDRESS]... release apply NOTE
  anvilturnctl [options] [--vm=ADDRESS]... release status
  anvilturnctl [options] [--vm=ADDRESS]... release history
  anvilturnctl [options] [--vm=ADDRESS]... release show
  anvilturnctl [options] [--vm=ADDRESS]... release settle ID
  anvilturnctl [options] [--vm=ADDRESS]... dump [ADDRESS]
  anvilturnctl [options] [--vm=ADDRESS]... vms
  anvilturnctl [options] [--vm=ADDRESS]... targets
  anvilturnctl [options] [--vm=ADDRESS]... drain TARGET
  anvilturnctl [options] [--vm=ADDRESS]... undrain TARGET
  anvilturnctl [options] [--vm=ADDRESS]... check-note NOTE
  anvilturnctl explain ID [FILE]...
  anvilturnctl --help
  anvilturnctl --version

Commands:
  release apply    bring a release note into force on all VMs
  release status   show on how many VMs the release is in force
  release history  show the release notes accepted most recently
  release show     show the release in force
  release settle   find out whether a note was accepted
  dump             show the state of a VM
  vms              show the VMs
  targets          show the targets
  drain            send a target no new calls and let its calls finish
  undrain          send a target new calls again
  check-note       check a release note, against the release in force if a VM
                   is given
  explain          print the log lines of a call in order of time, then its
                   outcome and the cause; the logs of the VMs are read from the
                   files, or from standard input

Options:
  --vm=ADDRESS      operator address of a VM; may be repeated: if one VM is
                    unreachable, the next one is tried
  --output=FORMAT   text or yaml [default: text]
  --timeout-ms=MS   time limit of a request to a VM [default: 30000]
  -h --help         print this text
  --version         print the version

Environment:
  ANVILTURN_VM      addresses for --vm, separated by commas

Exit codes:
  0  done
  1  refused; the reason and the remedy are on standard error
  2  the command line is invalid
  3  conflict: the note's objects changed after its base version
  4  unknown outcome: run anvilturnctl release settle ID to find out whether
     the note was accepted
  5  no VM could be reached
)";

using parsed_arguments = std::map<std::string, docopt::value>;

constexpr std::array<std::pair<std::string_view, client_command>, 14>
    command_words = {{{"apply", client_command::release_apply},
                      {"status", client_command::release_status},
                      {"history", client_command::release_history},
                      {"show", client_command::release_show},
                      {"settle", client_command::release_settle},
                      {"dump", client_command::dump},
                      {"vms", client_command::vms},
                      {"targets", client_command::targets},
                      {"drain", client_command::drain},
                      {"undrain", client_command::undrain},
                      {"check-note", client_command::check_note},
                      {"explain", client_command::explain},
                      {"--help", client_command::print_help},
                      {"--version", client_command::print_version}}};

constexpr std::array<const char*, 4> operand_names = {
    "NOTE", "ID", "TARGET", "ADDRESS"};
constexpr double max_timeout_ms = 600'000.0;

absl::Status invalid(const std::string& what)
{
    return make_error(error_kind::usage_invalid, "anvilturnctl: " + what);
}

client_command command_of(parsed_arguments& parsed)
{
    for (const auto& [word, command] : command_words)
    {
        const docopt::value& value = parsed[std::string(word)];
        if (value.isBool() && value.asBool())
        {
            return command;
        }
    }
    return client_command::print_help;
}

std::string operand_of(parsed_arguments& parsed)
{
    for (const char* name : operand_names)
    {
        if (parsed[name].isString())
        {
            return parsed[name].asString();
        }
    }
    return {};
}

std::vector<std::string> split(std::string_view text)
{
    std::vector<std::string> parts;
    while (!text.empty())
    {
        const auto end = std::min(text.find(','), text.size());
        parts.emplace_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

// Returns each text once, in the order of first occurrence. docopt returns the
// values of a repeatable option once for each usage line that it tried.
std::vector<std::string> distinct(const std::vector<std::string>& texts)
{
    std::vector<std::string> result;
    for (const std::string& text : texts)
    {
        if (std::find(result.begin(), result.end(), text) == result.end())
        {
            result.push_back(text);
        }
    }
    return result;
}

bool needs_vm(client_command command)
{
    return command != client_command::print_help &&
           command != client_command::print_version &&
           command != client_command::check_note &&
           command != client_command::explain;
}

absl::Status read_vms(parsed_arguments& parsed,
                      std::string_view default_vms,
                      client_arguments& into)
{
    if (parsed["--vm"].isStringList())
    {
        into.vms_ = distinct(parsed["--vm"].asStringList());
    }
    if (into.vms_.empty())
    {
        into.vms_ = split(default_vms);
    }
    if (into.command_ == client_command::dump && !into.operand_.empty())
    {
        into.vms_ = {into.operand_};
    }
    for (const std::string& vm : into.vms_)
    {
        if (!is_address(vm))
        {
            return invalid("'" + vm + "' is not an IP address and port");
        }
    }
    if (into.vms_.empty() && needs_vm(into.command_))
    {
        return invalid("give a VM with --vm=ADDRESS or ANVILTURN_VM");
    }
    return absl::OkStatus();
}

absl::Status read_options(parsed_arguments& parsed, client_arguments& into)
{
    const std::string output = parsed["--output"].asString();
    if (output != "text" && output != "yaml")
    {
        return invalid("--output must be text or yaml");
    }
    into.output_ = output == "yaml" ? output_format::yaml : output_format::text;
    const auto timeout =
        parse_number(yaml_scalar(parsed["--timeout-ms"].asString()));
    if (!timeout || *timeout < 1.0 || *timeout > max_timeout_ms)
    {
        return invalid("--timeout-ms must be 1 to 600000");
    }
    into.timeout_ = milliseconds(*timeout);
    return absl::OkStatus();
}

absl::StatusOr<client_arguments> read_arguments(parsed_arguments& parsed,
                                                std::string_view default_vms)
{
    client_arguments result;
    result.command_ = command_of(parsed);
    result.operand_ = operand_of(parsed);
    if (parsed["FILE"].isStringList())
    {
        result.files_ = distinct(parsed["FILE"].asStringList());
    }
    absl::Status status = read_options(parsed, result);
    if (status.ok())
    {
        status = read_vms(parsed, default_vms, result);
    }
    if (!status.ok())
    {
        return status;
    }
    return result;
}

} // namespace

std::string_view client_usage()
{
    return usage_text;
}

absl::StatusOr<client_arguments>
parse_client_arguments(const std::vector<std::string>& arguments,
                       std::string_view default_vms)
{
    try
    {
        auto parsed = docopt::docopt_parse(
            std::string(usage_text), arguments, false, false);
        return read_arguments(parsed, default_vms);
    }
    catch (const docopt::DocoptArgumentError& error)
    {
        return invalid(error.what());
    }
}

} // namespace anvilturn
