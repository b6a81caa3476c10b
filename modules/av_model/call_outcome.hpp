#ifndef AV_MODEL_CALL_OUTCOME_HPP
#define AV_MODEL_CALL_OUTCOME_HPP

#include <cstddef>
#include <string_view>

namespace anvilturn
{

// What is reported to a caller about its call. There is no fourth outcome.
enum class call_outcome
{
    // The response comes from the target.
    answered,
    // The call did not run and will not run; it is safe to send it again.
    not_run,
    // It cannot be determined whether the call ran; the caller should read
    // back the state before it sends the call again.
    unknown
};

constexpr std::size_t call_outcome_count = 3;

// Returns the value of the Anvilturn-Outcome header field.
constexpr std::string_view name_of(call_outcome value) noexcept
{
    switch (value)
    {
    case call_outcome::answered:
        return "answered";
    case call_outcome::not_run:
        return "not-run";
    case call_outcome::unknown:
        break;
    }
    return "unknown";
}

} // namespace anvilturn

#endif
