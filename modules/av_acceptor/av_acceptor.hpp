// Purpose: performs the reads and writes on the platform that accepting a
// release note needs, and exposes releases and their notes to operators over
// HTTP.
// Depends on: av_core, av_net, av_operator, av_platform, av_release, av_yaml;
// Boost.Asio (behind the .cpp files only).

#ifndef AV_ACCEPTOR_AV_ACCEPTOR_HPP
#define AV_ACCEPTOR_AV_ACCEPTOR_HPP

#include <av_acceptor/release_acceptor.hpp>
#include <av_acceptor/release_routes.hpp>

#endif
