#ifndef AV_ROUTING_RANDOM_BITS_HPP
#define AV_ROUTING_RANDOM_BITS_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace anvilturn
{

// Mixes 64 bits so that each bit of the result depends on all bits of the
// value (the finalizer of SplitMix64). The same value gives the same result on
// every VM.
constexpr std::uint64_t mix_bits(std::uint64_t value) noexcept
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

// Hashes text with FNV-1a, the same on every VM and in every build, which
// std::hash does not guarantee.
constexpr std::uint64_t stable_hash(std::string_view text) noexcept
{
    std::uint64_t hash = 0xcbf29ce484222325U;
    for (const char c : text)
    {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3U;
    }
    return hash;
}

// Returns a number in [0, 1) from uniformly distributed bits.
constexpr double unit_interval(std::uint64_t bits) noexcept
{
    constexpr double scale = 1.0 / 9007199254740992.0;
    return static_cast<double>(bits >> 11U) * scale;
}

// Returns an index below count from uniformly distributed bits. The count must
// not be zero.
constexpr std::size_t random_index(std::uint64_t bits,
                                   std::size_t count) noexcept
{
    return static_cast<std::size_t>(unit_interval(bits) *
                                    static_cast<double>(count));
}

} // namespace anvilturn

#endif
