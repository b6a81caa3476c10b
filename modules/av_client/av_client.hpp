// Purpose: anvilturnctl, the command-line client for operators, as a library.
// Depends on: av_core, av_net, av_release, av_settings, av_yaml; docopt (behind
// client_arguments.cpp only), Boost.Asio and Beast (behind vm_caller.cpp only).

#ifndef AV_CLIENT_AV_CLIENT_HPP
#define AV_CLIENT_AV_CLIENT_HPP

#include <av_client/call_explanation.hpp>
#include <av_client/client_arguments.hpp>
#include <av_client/client_commands.hpp>
#include <av_client/exit_code.hpp>
#include <av_client/text_output.hpp>
#include <av_client/vm_request.hpp>

#endif
