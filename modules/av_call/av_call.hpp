// Purpose: the life of one call, without I/O: the single point at which it is
// either dispatched or refused, and what may be said of it afterwards.
// Depends on: av_core; Boost.MSM (in call_life.cpp only).

#ifndef AV_CALL_AV_CALL_HPP
#define AV_CALL_AV_CALL_HPP

#include <av_call/attempt_facts.hpp>
#include <av_call/call_commit.hpp>
#include <av_call/call_lifecycle.hpp>
#include <av_call/classify_attempt.hpp>

#endif
