// Main program of anvilturnctl, the command-line client for operators; the
// commands are in av_client.

#include <av_client/client_commands.hpp>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const char* vms = std::getenv("ANVILTURN_VM");
    const anvilturn::exit_code code = anvilturn::run_client(
        arguments, vms == nullptr ? "" : vms, std::cout, std::cerr);
    return static_cast<int>(code);
}
