// Purpose: the lifecycle of one call, without I/O: the single decision whether
// it is dispatched or refused, and the outcome that may be reported afterwards.
// Depends on: av_core; Boost.MSM (in call_lifecycle.cpp only).

#ifndef AV_CALL_AV_CALL_HPP
#define AV_CALL_AV_CALL_HPP

#include <av_call/attempt_input.hpp>
#include <av_call/call_commit.hpp>
#include <av_call/call_lifecycle.hpp>
#include <av_call/classify_attempt.hpp>

#endif
