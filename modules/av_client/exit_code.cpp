#include <av_client/exit_code.hpp>

#include <av_core/error.hpp>

namespace anvilturn
{

exit_code exit_code_of(const absl::Status& status)
{
    if (status.ok())
    {
        return exit_code::success;
    }
    const auto kind = kind_of(status);
    if (kind == error_kind::usage_invalid)
    {
        return exit_code::usage;
    }
    if (kind == error_kind::release_conflict)
    {
        return exit_code::conflict;
    }
    if (kind == error_kind::release_outcome_unknown)
    {
        return exit_code::unknown_outcome;
    }
    return kind == error_kind::vm_unreachable ? exit_code::unreachable
                                              : exit_code::refused;
}

exit_code exit_code_of(unsigned http_status)
{
    switch (http_status)
    {
    case 200:
        return exit_code::success;
    case 409:
        return exit_code::conflict;
    case 504:
        return exit_code::unknown_outcome;
    default:
        return exit_code::refused;
    }
}

} // namespace anvilturn
