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

// Version and value of an object.
struct stored_object
{
    // Revision of the last write; zero if the object is absent.
    std::uint64_t version_ = 0;
    std::string value_;
};

// One change, as a watch reports it.
struct store_event
{
    std::uint64_t revision_ = 0;
    std::string key_;
    // Version written, or the version deleted.
    std::uint64_t version_ = 0;
    bool deleted_ = false;
};

// Result of a conditional write or deletion.
enum class write_result
{
    done,
    version_mismatch,
    absent
};

// Versioned objects by key, and all changes to them. Keeps earlier states for a
// minute, so that stale reads can be served.
class object_store
{
public:
    // Returns the object as of a monotonic time; version zero if absent.
    stored_object get(std::string_view key, milliseconds as_of) const;

    // Writes the value if `expected` is the current version; zero requires that
    // the object is absent. `now` is monotonic.
    write_result put(const std::string& key,
                     std::uint64_t expected,
                     std::string value,
                     milliseconds now);

    // Deletes the object if `expected` is its current version.
    write_result
    erase(const std::string& key, std::uint64_t expected, milliseconds now);

    // Returns the versions of the objects under a key prefix, as of a
    // monotonic time.
    std::map<std::string, std::uint64_t> list(std::string_view prefix,
                                              milliseconds as_of) const;

    // Returns the changes under a key prefix after a revision, oldest first.
    std::vector<store_event> events_after(std::string_view prefix,
                                          std::uint64_t revision) const;

    // Returns the number of writes and deletions so far.
    std::uint64_t revision() const noexcept;

private:
    // State of an object from a monotonic time on.
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
