#ifndef BENCHES_CALL_LOAD_CALL_RESULT_HPP
#define BENCHES_CALL_LOAD_CALL_RESULT_HPP

#include <call_load/load_plan.hpp>

#include <cstdint>
#include <string>

namespace anvilturn
{

// Outcome of a call as its caller sees it.
enum class caller_outcome : std::uint8_t
{
    // Not sent: the run ended, or the connection could not be established.
    unreached,
    answered,
    not_run,
    // The response reports neither `answered` nor `not-run`, the connection
    // failed, or the call timed out at the caller.
    unknown
};

// Result of one call.
struct call_result
{
    caller_outcome outcome_ = caller_outcome::unreached;
    // Whether the connection failed or the call timed out at the caller after
    // the connection was established.
    bool broken_ = false;
    // Whether the body belongs to another call, or bytes followed the response
    // that belong to no request of the connection.
    bool misdelivered_ = false;
    // Whether the body was truncated or altered.
    bool damaged_ = false;
    std::uint16_t status_ = 0;
    // From the intended start to the end of the response or to the failure.
    float latency_ms_ = 0.0F;
    // From the intended start to the moment at which the worker started it.
    float send_delay_ms_ = 0.0F;
    // Index of the address that the call was sent to.
    std::uint16_t address_index_ = 0;
    // Anvilturn-Reason of the response; without a complete one `caller_timeout`
    // or the error of the connection.
    std::string reason_;
};

// Returns the id of a call: run, stream index and sequence number, separated
// by dots.
inline std::string call_id(const std::string& run, const arrival& call)
{
    return run + '.' + std::to_string(call.stream_index_) + '.' +
           std::to_string(call.sequence_number_);
}

} // namespace anvilturn

#endif
