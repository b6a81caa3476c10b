#ifndef AV_CORE_MILLISECONDS_HPP
#define AV_CORE_MILLISECONDS_HPP

namespace anvilturn
{

// The project's only time type: a duration in milliseconds, or a point in time
// as the milliseconds since the epoch of the clock that returned it. Fractions
// are kept, so that latencies below a millisecond can be represented. Points in
// time of two different clocks must not be subtracted.
class milliseconds
{
public:
    constexpr milliseconds() noexcept = default;

    constexpr explicit milliseconds(double count) noexcept
        : count_(count)
    {
    }

    // Returns the number of milliseconds, with its fraction.
    constexpr double count() const noexcept
    {
        return count_;
    }

    friend constexpr milliseconds operator+(milliseconds a,
                                            milliseconds b) noexcept
    {
        return milliseconds(a.count_ + b.count_);
    }

    friend constexpr milliseconds operator-(milliseconds a,
                                            milliseconds b) noexcept
    {
        return milliseconds(a.count_ - b.count_);
    }

    friend constexpr milliseconds operator*(milliseconds a, double k) noexcept
    {
        return milliseconds(a.count_ * k);
    }

    friend constexpr double operator/(milliseconds a, milliseconds b) noexcept
    {
        return a.count_ / b.count_;
    }

    friend constexpr bool operator==(milliseconds a, milliseconds b) noexcept
    {
        return a.count_ == b.count_;
    }

    friend constexpr bool operator!=(milliseconds a, milliseconds b) noexcept
    {
        return a.count_ != b.count_;
    }

    friend constexpr bool operator<(milliseconds a, milliseconds b) noexcept
    {
        return a.count_ < b.count_;
    }

    friend constexpr bool operator<=(milliseconds a, milliseconds b) noexcept
    {
        return a.count_ <= b.count_;
    }

    friend constexpr bool operator>(milliseconds a, milliseconds b) noexcept
    {
        return a.count_ > b.count_;
    }

    friend constexpr bool operator>=(milliseconds a, milliseconds b) noexcept
    {
        return a.count_ >= b.count_;
    }

private:
    double count_ = 0.0;
};

} // namespace anvilturn

#endif
