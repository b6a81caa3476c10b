// Purpose: the HTTP server for operators, which listens on an address separate
// from the callers'.
// Depends on: av_core, av_net; Boost.Asio and Beast (behind operator_server.cpp
// only).

#ifndef AV_OPERATOR_AV_OPERATOR_HPP
#define AV_OPERATOR_AV_OPERATOR_HPP

#include <av_operator/operator_request.hpp>
#include <av_operator/operator_response.hpp>
#include <av_operator/operator_server.hpp>
#include <av_operator/operator_server_options.hpp>

#endif
