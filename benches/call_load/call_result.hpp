#ifndef BENCHES_CALL_LOAD_CALL_RESULT_HPP
#define BENCHES_CALL_LOAD_CALL_RESULT_HPP

#include <call_load/load_plan.hpp>

#include <cstdint>
#include <string>

namespace anvilturn
{

// What the caller knows of a call in the end.
enum class caller_outcome : std::uint8_t
{
    // Not sent: the run ended, or no connection could be made.
    unreached,
    answered,
    not_run,
    // Told so, or the connection broke, or the caller waited too long.
    unknown
};

// How one call went.
struct call_result
{
    caller_outcome outcome_ = caller_outcome::unreached;
    // Whether the connection broke or the caller's time was over.
    bool broken_ = false;
    // Whether the body was that of another call.
    bool misdelivered_ = false;
    // Whether the body was truncated or changed.
    bool damaged_ = false;
    std::uint16_t status_ = 0;
    // From the intended start to the end of the answer.
    float latency_ms_ = 0.0F;
    // From the intended start to the moment at which the caller got to it.
    float send_delay_ms_ = 0.0F;
    // Address that the call was sent to.
    std::uint16_t address_index_ = 0;
    // Anvilturn-Reason, or what broke.
    std::string reason_;
};

// Returns the id of a call: the run, the stream and a number.
inline std::string call_id(const std::string& run, const arrival& call)
{
    return run + '.' + std::to_string(call.stream_index_) + '.' +
           std::to_string(call.sequence_number_);
}

} // namespace anvilturn

#endif
