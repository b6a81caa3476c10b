#include <common/standin_program.hpp>

#include <av_core/log_event.hpp>

#include <docopt/docopt.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <exception>

namespace anvilturn
{

std::string text_of(const arguments& args, const char* option)
{
    const auto& value = args.at(option);
    return value ? value.asString() : std::string();
}

double number_of(const arguments& args, const char* option)
{
    return std::stod(args.at(option).asString());
}

std::chrono::microseconds to_duration(milliseconds time)
{
    return std::chrono::microseconds(
        static_cast<std::int64_t>(std::max(0.0, time.count()) * 1000.0));
}

int run_standin(const char* name,
                const char* usage,
                int argc,
                char** argv,
                const std::function<int(const arguments&)>& program)
{
    const auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    configure_logging(log_level::info, name);
    try
    {
        return program(args);
    }
    catch (const std::exception& failure)
    {
        std::fprintf(stderr, "%s: %s\n", name, failure.what());
        return 2;
    }
}

} // namespace anvilturn
