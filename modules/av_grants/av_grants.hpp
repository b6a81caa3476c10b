// Purpose: permits for calls that are limited for all VMs together: the server
// of a VM that owns shares of limits, the client of the VMs that use them, and
// the messages between the two. Its headers don't include Asio.
// Depends on: av_core, av_net, av_quota, Boost.Asio and Cap'n Proto (behind
// .cpp files).

#ifndef AV_GRANTS_AV_GRANTS_HPP
#define AV_GRANTS_AV_GRANTS_HPP

#include <av_grants/grant_codec.hpp>
#include <av_grants/grant_messages.hpp>
#include <av_grants/grant_server.hpp>
#include <av_grants/grantor_order.hpp>
#include <av_grants/permit_client.hpp>
#include <av_grants/permit_counters.hpp>

#endif
