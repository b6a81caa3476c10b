#ifndef AV_CLIENT_CLIENT_COMMANDS_HPP
#define AV_CLIENT_CLIENT_COMMANDS_HPP

#include <av_client/client_arguments.hpp>
#include <av_client/exit_code.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace anvilturn
{

// Runs one command. Writes results to out, errors with their remedy to err.
exit_code run_command(const client_arguments& arguments,
                      std::ostream& out,
                      std::ostream& err);

// Parses the command line, without the program's name, and runs its command.
// See parse_client_arguments for default_vms.
exit_code run_client(const std::vector<std::string>& arguments,
                     std::string_view default_vms,
                     std::ostream& out,
                     std::ostream& err);

} // namespace anvilturn

#endif
