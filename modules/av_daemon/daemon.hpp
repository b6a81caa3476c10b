#ifndef AV_DAEMON_DAEMON_HPP
#define AV_DAEMON_DAEMON_HPP

#include <av_settings/settings.hpp>

#include <absl/status/statusor.h>

#include <memory>
#include <string>

namespace anvilturn
{

// The anvilturnd process of one VM: the request path, the control plane and
// the operator server, from start to graceful shutdown.
class daemon
{
public:
    // Listens on all addresses and joins the fleet. The VM is not ready for
    // callers before it has a release. The settings file is read again on
    // SIGHUP. Fails if an address can't be bound or the settings name an
    // unknown store adapter.
    static absl::StatusOr<std::unique_ptr<daemon>>
    start(const settings& value, const std::string& settings_file);

    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    // Serves until SIGTERM or SIGINT arrives, then shuts down gracefully.
    // Returns the exit code: 0 if every call ended in time, 1 if calls were
    // abandoned.
    int run();

private:
    class implementation;
    explicit daemon(std::unique_ptr<implementation> value);

    std::unique_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
