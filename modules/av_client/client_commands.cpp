#include <av_client/client_commands.hpp>

#include <av_client/call_explanation.hpp>
#include <av_client/text_output.hpp>
#include <av_client/vm_request.hpp>
#include <av_core/error.hpp>
#include <av_release/release_codec.hpp>
#include <av_release/release_note_builder.hpp>
#include <av_release/release_note_codec.hpp>
#include <av_settings/daemon_arguments.hpp>
#include <av_yaml/yaml_field_types.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <ostream>
#include <random>
#include <utility>
#include <vector>

namespace anvilturn
{
namespace
{

constexpr std::size_t max_note_file_bytes = 1'000'000;
// Leaves room in a note id of at most 64 characters for action and suffix.
constexpr std::size_t max_note_id_target_bytes = 40;

// Commands that are a single GET request, with its path.
constexpr std::array<std::pair<client_command, std::string_view>, 6>
    read_only_paths = {
        {{client_command::release_status, "/v1/release/status"},
         {client_command::release_history, "/v1/release/history"},
         {client_command::release_show, "/v1/release"},
         {client_command::dump, "/v1/dump"},
         {client_command::vms, "/v1/vms"},
         {client_command::targets, "/v1/targets"}}};

exit_code fail(const absl::Status& status, std::ostream& err)
{
    err << "anvilturnctl: "
        << std::string_view(status.message().data(), status.message().size())
        << "\n";
    return exit_code_of(status);
}

// Prints a VM's response: to out on success, else to err.
exit_code print_response(const client_arguments& arguments,
                         const vm_response& response,
                         std::ostream& out,
                         std::ostream& err)
{
    const exit_code code = exit_code_of(response.status_);
    std::ostream& stream = code == exit_code::success ? out : err;
    const bool is_raw = arguments.output_ == output_format::yaml ||
                        arguments.command_ == client_command::release_show ||
                        arguments.command_ == client_command::dump;
    stream << (is_raw ? response.body_ : format_as_text(response.body_));
    return code;
}

exit_code send(const client_arguments& arguments,
               const vm_request& request,
               std::ostream& out,
               std::ostream& err)
{
    const auto response =
        send_vm_request(arguments.vms_, request, arguments.timeout_);
    return response.ok() ? print_response(arguments, *response, out, err)
                         : fail(response.status(), err);
}

absl::StatusOr<std::string> read_note_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    // One byte more than allowed, so that a file over the limit is detected.
    std::string text(max_note_file_bytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!file && !file.eof())
    {
        return make_error(error_kind::release_invalid, path + " can't be read");
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

// Sends a note. If the response is lost, prints the command that finds out
// whether the note was accepted.
exit_code apply(const client_arguments& arguments,
                const release_note& note,
                std::ostream& out,
                std::ostream& err)
{
    const vm_request request{
        "POST", "/v1/release/apply", write_release_note(note), false};
    const auto response =
        send_vm_request(arguments.vms_, request, arguments.timeout_);
    if (response.ok())
    {
        return print_response(arguments, *response, out, err);
    }
    const exit_code code = fail(response.status(), err);
    if (code == exit_code::unknown_outcome)
    {
        err << "anvilturnctl: find out whether the note was accepted with: "
               "anvilturnctl release settle "
            << note.id() << "\n";
    }
    return code;
}

absl::StatusOr<release_note> read_note(const std::string& path)
{
    const auto text = read_note_file(path);
    return text.ok() ? parse_release_note(*text, path) : text.status();
}

exit_code apply_note_file(const client_arguments& arguments,
                          std::ostream& out,
                          std::ostream& err)
{
    const auto note = read_note(arguments.operand_);
    return note.ok() ? apply(arguments, *note, out, err)
                     : fail(note.status(), err);
}

exit_code check_note_file(const client_arguments& arguments,
                          std::ostream& out,
                          std::ostream& err)
{
    const auto note = read_note(arguments.operand_);
    if (!note.ok())
    {
        return fail(note.status(), err);
    }
    if (arguments.vms_.empty())
    {
        out << "verdict: well-formed; give a VM with --vm to check it against "
               "the release in force\n";
        return exit_code::success;
    }
    return send(arguments,
                {"POST", "/v1/release/check", write_release_note(*note)},
                out,
                err);
}

exit_code
settle(const client_arguments& arguments, std::ostream& out, std::ostream& err)
{
    if (!is_name(arguments.operand_))
    {
        return fail(make_error(error_kind::usage_invalid,
                               "ID must be a " + std::string(name_allowed)),
                    err);
    }
    return send(arguments,
                {"GET", "/v1/release/settle?id=" + arguments.operand_, {}},
                out,
                err);
}

absl::StatusOr<release> fetch_release(const client_arguments& arguments)
{
    const auto response = send_vm_request(
        arguments.vms_, {"GET", "/v1/release", {}}, arguments.timeout_);
    if (!response.ok())
    {
        return response.status();
    }
    if (response->status_ != 200)
    {
        return make_error(error_kind::release_missing, response->body_);
    }
    return parse_release(response->body_, "VM");
}

// Returns a note id with 48 random bits, which make it unique.
std::string random_note_id(std::string_view action, const std::string& target)
{
    std::random_device random;
    constexpr std::string_view digits = "0123456789abcdef";
    std::string id(action);
    id += "-" + target.substr(0, max_note_id_target_bytes) + "-";
    for (int i = 0; i < 12; ++i)
    {
        id += digits[random() % digits.size()];
    }
    return id;
}

// Applies a release note that starts or ends the draining of a target. Applies
// none if the release in force has that state already.
exit_code set_draining(const client_arguments& arguments,
                       bool draining,
                       std::ostream& out,
                       std::ostream& err)
{
    const auto in_force = fetch_release(arguments);
    if (!in_force.ok())
    {
        return fail(in_force.status(), err);
    }
    const auto target = in_force->targets_.find(arguments.operand_);
    if (target == in_force->targets_.end())
    {
        return fail(make_error(error_kind::object_unknown,
                               "target '" + arguments.operand_ + "'"),
                    err);
    }
    const std::string value = draining ? "true" : "false";
    if (target->second.draining_ == draining)
    {
        out << "unchanged: draining is " << value << " already\n";
        return exit_code::success;
    }
    const std::string id =
        random_note_id(draining ? "drain" : "undrain", arguments.operand_);
    const auto note =
        release_note_builder(id, in_force->version_)
            .change_target(
                {arguments.operand_, {{"draining", 0, yaml_scalar(value)}}})
            .build();
    return note.ok() ? apply(arguments, *note, out, err)
                     : fail(note.status(), err);
}

// Explains a call from the given log files, or from standard input if none is
// given.
exit_code
explain(const client_arguments& arguments, std::ostream& out, std::ostream& err)
{
    std::vector<std::string> lines;
    if (arguments.files_.empty())
    {
        lines = find_call_lines(arguments.operand_, std::cin);
    }
    for (const auto& name : arguments.files_)
    {
        std::ifstream file(name);
        if (!file)
        {
            return fail(make_error(error_kind::usage_invalid,
                                   "can't read the log file " + name),
                        err);
        }
        auto found = find_call_lines(arguments.operand_, file);
        std::move(found.begin(), found.end(), std::back_inserter(lines));
    }
    const auto explained = explain_call(arguments.operand_, std::move(lines));
    for (const auto& line : explained.lines_)
    {
        out << line << "\n";
    }
    out << explained.summary_ << "\n";
    return exit_code::success;
}

exit_code run_read_command(const client_arguments& arguments,
                           std::ostream& out,
                           std::ostream& err)
{
    for (const auto& [command, path] : read_only_paths)
    {
        if (command == arguments.command_)
        {
            return send(arguments, {"GET", std::string(path), {}}, out, err);
        }
    }
    return fail(make_error(error_kind::internal, "no path for this command"),
                err);
}

} // namespace

exit_code run_command(const client_arguments& arguments,
                      std::ostream& out,
                      std::ostream& err)
{
    switch (arguments.command_)
    {
    case client_command::print_help:
        out << client_usage();
        return exit_code::success;
    case client_command::print_version:
        out << program_version() << "\n";
        return exit_code::success;
    case client_command::release_apply:
        return apply_note_file(arguments, out, err);
    case client_command::release_settle:
        return settle(arguments, out, err);
    case client_command::check_note:
        return check_note_file(arguments, out, err);
    case client_command::explain:
        return explain(arguments, out, err);
    case client_command::drain:
        return set_draining(arguments, true, out, err);
    case client_command::undrain:
        return set_draining(arguments, false, out, err);
    default:
        return run_read_command(arguments, out, err);
    }
}

exit_code run_client(const std::vector<std::string>& arguments,
                     std::string_view default_vms,
                     std::ostream& out,
                     std::ostream& err)
{
    const auto parsed = parse_client_arguments(arguments, default_vms);
    return parsed.ok() ? run_command(*parsed, out, err)
                       : fail(parsed.status(), err);
}

} // namespace anvilturn
