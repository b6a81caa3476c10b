#ifndef STANDINS_FAKE_PLATFORM_OBJECT_STORE_HPP
#define STANDINS_FAKE_PLATFORM_OBJECT_STORE_HPP

#include <av_core/milliseconds.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilturn
{

// One state of one object.
struct stored_object
{
    // Zero if the object is absent.
    std::uint64_t version_ = 0;
    std::string value_;
};

// One change, as a watch tells it.
struct store_event
{
    std::uint64_t revision_ = 0;
    std::string key_;
    std::uint64_t version_ = 0;
    bool deleted_ = false;
};

// What a conditional write came to.
enum class write_result
{
    done,
    version_mismatch,
    absent
};

// Objects by key with versions, and the changes so far. It keeps older states,
// so that stale reads can be given.
class object_store
{
public:
    // Returns the object as it stood at that monotonic time.
    stored_object get(std::string_view key, milliseconds as_of) const;

    // Writes if the version is the present one; zero demands absence.
    write_result put(const std::string& key,
                     std::uint64_t expected,
                     std::string value,
                     milliseconds now);

    // Deletes if the version is the present one.
    write_result
    erase(const std::string& key, std::uint64_t expected, milliseconds now);

    // Returns the versions of the objects under a prefix.
    std::map<std::string, std::uint64_t> list(std::string_view prefix,
                                              milliseconds as_of) const;

    // Returns the changes under a prefix after a revision, oldest first.
    std::vector<store_event> events_after(std::string_view prefix,
                                          std::uint64_t revision) const;

    std::uint64_t revision() const noexcept;

private:
    struct object_state
    {
        milliseconds since_;
        stored_object object_;
    };

    void record(const std::string& key, stored_object state, milliseconds now);

    std::uint64_t revision_ = 0;
    std::map<std::string, std::deque<object_state>, std::less<>> states_;
    std::vector<store_event> events_;
};

} // namespace anvilturn

#endif
