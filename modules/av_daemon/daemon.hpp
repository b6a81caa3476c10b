#ifndef AV_DAEMON_DAEMON_HPP
#define AV_DAEMON_DAEMON_HPP

#include <av_settings/settings.hpp>

#include <absl/status/statusor.h>

#include <memory>
#include <string>

namespace anvilturn
{

// One VM's process: the request path, the control plane and the operators'
// server, from start to graceful shutdown.
class daemon
{
public:
    // Listens on all addresses and joins the fleet. The VM is not ready for
    // callers before it has a release. The file is read again at SIGHUP. Fails
    // if an address can't be used.
    static absl::StatusOr<std::unique_ptr<daemon>>
    start(const settings& value, const std::string& settings_file);

    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    // Serves until SIGTERM or SIGINT arrives and the graceful shutdown is over.
    // Returns the exit status: 0 if every call came to its end in time.
    int run();

private:
    class implementation;
    explicit daemon(std::unique_ptr<implementation> value);

    std::unique_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
