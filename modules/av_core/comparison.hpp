#ifndef AV_CORE_COMPARISON_HPP
#define AV_CORE_COMPARISON_HPP

#include <utility>

namespace anvilturn
{

// Compare two values of one type by the members that make up its value. The
// type names them by a member function tie, which returns std::tie of them.
template <typename Value,
          typename = decltype(std::declval<const Value&>().tie())>
bool operator==(const Value& a, const Value& b)
{
    return a.tie() == b.tie();
}

template <typename Value,
          typename = decltype(std::declval<const Value&>().tie())>
bool operator!=(const Value& a, const Value& b)
{
    return !(a == b);
}

} // namespace anvilturn

#endif
