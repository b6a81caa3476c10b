#ifndef AV_ACCEPTOR_RELEASE_ROUTES_HPP
#define AV_ACCEPTOR_RELEASE_ROUTES_HPP

#include <av_acceptor/release_acceptor.hpp>
#include <av_operator/operator_server.hpp>

#include <functional>
#include <memory>

namespace anvilturn
{

// Callbacks through which the routes reach the VM's release.
struct release_routes_options
{
    // Returns the release in force; null before the VM has one.
    std::function<std::shared_ptr<const release>()> get_in_force_;
    // Called with the newest release seen by accept or settle, the accepted
    // one included, so that this VM applies it at once and notifies the other
    // VMs.
    std::function<void(const release& newest)> on_newest_release_;
};

// Registers the operators' routes for releases:
//   POST /v1/release/apply          accepts the release note in the body (YAML)
//   POST /v1/release/check          validates such a note without applying it
//   GET  /v1/release/settle?id=ID   returns whether that note was accepted
//   GET  /v1/release                returns the release in force
//   GET  /v1/release/history        returns the ids of the notes accepted last
// The acceptor must outlive the server.
void register_release_routes(operator_server& server,
                             release_acceptor& acceptor,
                             const release_limits& limits,
                             const release_routes_options& options);

} // namespace anvilturn

#endif
