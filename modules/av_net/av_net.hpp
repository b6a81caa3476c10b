// Purpose: what the HTTP clients and servers of the control and operator
// planes share. Its headers include Asio or Beast: include them in source
// files only.
// Depends on: av_core, av_yaml (address syntax), Boost.Asio, Beast.

#ifndef AV_NET_AV_NET_HPP
#define AV_NET_AV_NET_HPP

#include <av_net/duration.hpp>
#include <av_net/endpoint.hpp>
#include <av_net/http_caller.hpp>
#include <av_net/http_exchange.hpp>

#endif
