// Purpose: reads and writes HTTP/1.1 messages between caller and target under
// limits, and refuses every message whose end could be read in two ways.
// Depends on: av_core, av_model, Boost.Beast (in .cpp files only).

#ifndef AV_HTTP_AV_HTTP_HPP
#define AV_HTTP_AV_HTTP_HPP

#include <av_http/header_check.hpp>
#include <av_http/header_dialect.hpp>
#include <av_http/http_limits.hpp>
#include <av_http/message_writer.hpp>
#include <av_http/read_result.hpp>
#include <av_http/request_head.hpp>
#include <av_http/request_reader.hpp>
#include <av_http/response_head.hpp>
#include <av_http/response_reader.hpp>

#endif
