#ifndef AV_ACCEPTOR_RELEASE_ROUTES_HPP
#define AV_ACCEPTOR_RELEASE_ROUTES_HPP

#include <av_acceptor/release_acceptor.hpp>
#include <av_operator/operator_server.hpp>

#include <functional>
#include <memory>

namespace anvilturn
{

// What the routes need of the VM.
struct release_routes_options
{
    // Returns the release in force, or null before there is one.
    std::function<std::shared_ptr<const release>()> get_in_force_;
    // Takes the newest release that an acceptance saw, the accepted one
    // included, so that this VM adopts it at once and tells the others.
    std::function<void(const release& newest)> on_newest_release_;
};

// Registers the operators' calls about releases:
//   POST /v1/release/apply          a note in YAML
//   POST /v1/release/check          the same, without effect
//   GET  /v1/release/settle?id=ID   whether that note was accepted
//   GET  /v1/release                the release in force
//   GET  /v1/release/history        the notes accepted last
// The acceptor must outlive the server.
void register_release_routes(operator_server& server,
                             release_acceptor& acceptor,
                             const release_limits& limits,
                             const release_routes_options& options);

} // namespace anvilturn

#endif
