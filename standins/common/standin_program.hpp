#ifndef STANDINS_COMMON_STANDIN_PROGRAM_HPP
#define STANDINS_COMMON_STANDIN_PROGRAM_HPP

#include <av_core/milliseconds.hpp>

#include <docopt/docopt_value.h>

#include <chrono>
#include <functional>
#include <map>
#include <string>

namespace anvilturn
{

// Parsed command line: values by option name.
using arguments = std::map<std::string, docopt::value>;

// Returns the text of an option; empty if the option was not given.
std::string text_of(const arguments& args, const char* option);

// Returns the number of an option; throws std::invalid_argument if its text is
// not a number.
double number_of(const arguments& args, const char* option);

// Converts to a duration for timers; negative times become zero.
std::chrono::microseconds to_duration(milliseconds time);

// Parses the command line by the docopt usage text, sets up logging, runs the
// program and returns its exit status. An exception from the program is printed
// to stderr and gives exit status 2.
int run_standin(const char* name,
                const char* usage,
                int argc,
                char** argv,
                const std::function<int(const arguments&)>& program);

} // namespace anvilturn

#endif
