// The daemon that runs on every entry VM.

#include <av_core/av_core.hpp>
#include <av_daemon/daemon.hpp>
#include <av_settings/av_settings.hpp>

#include <iostream>
#include <string>
#include <vector>

namespace
{

constexpr int exit_startup_failed = 1;
constexpr int exit_usage = 2;

int fail(const absl::Status& status, int exit_code)
{
    std::cerr << status.message() << '\n';
    return exit_code;
}

int serve(const anvilturn::settings& settings, const std::string& file)
{
    anvilturn::configure_logging(settings.logs().level_, settings.vm().name_);
    const auto daemon = anvilturn::daemon::start(settings, file);
    if (!daemon.ok())
    {
        return fail(daemon.status(), exit_startup_failed);
    }
    return (*daemon)->run();
}

} // namespace

int main(int argc, char** argv)
{
    using anvilturn::daemon_action;
    const auto arguments = anvilturn::parse_daemon_arguments(
        std::vector<std::string>(argv + 1, argv + argc));
    if (!arguments.ok())
    {
        return fail(arguments.status(), exit_usage);
    }
    switch (arguments->action_)
    {
    case daemon_action::print_help:
        std::cout << anvilturn::daemon_usage();
        return 0;
    case daemon_action::print_version:
        std::cout << anvilturn::program_version() << '\n';
        return 0;
    case daemon_action::print_settings_reference:
        std::cout << anvilturn::settings_reference();
        return 0;
    case daemon_action::check_settings:
    case daemon_action::serve:
        break;
    }
    const auto settings =
        anvilturn::read_settings_file(arguments->settings_file_);
    if (!settings.ok())
    {
        return fail(settings.status(), exit_startup_failed);
    }
    if (arguments->action_ == daemon_action::check_settings)
    {
        std::cout << "settings: valid\n";
        return 0;
    }
    return serve(*settings, arguments->settings_file_);
}
