#ifndef AV_CORE_SNAPSHOT_CELL_HPP
#define AV_CORE_SNAPSHOT_CELL_HPP

#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>

namespace anvilturn
{

// Holds the latest immutable snapshot of a value for many reading threads, as
// in read-copy-update: a writer publishes a complete new value, and the old one
// is freed when its last reader releases it. On the request path read it
// through a snapshot_reader, which takes no lock unless a value was published.
template <typename Value>
class snapshot_cell
{
public:
    explicit snapshot_cell(std::shared_ptr<const Value> first)
        : value_(std::move(first))
    {
    }

    // Replaces the value. May be called by any thread.
    void publish(std::shared_ptr<const Value> value)
    {
        std::atomic_store(&value_, std::move(value));
        generation_.fetch_add(1, std::memory_order_release);
    }

    // Returns the latest value. The standard library may take a lock for it:
    // use a snapshot_reader on the request path.
    std::shared_ptr<const Value> load() const
    {
        return std::atomic_load(&value_);
    }

    // Returns a number that changes with each publication.
    std::uint64_t generation() const noexcept
    {
        return generation_.load(std::memory_order_acquire);
    }

private:
    std::shared_ptr<const Value> value_;
    std::atomic<std::uint64_t> generation_{1};
};

// Reads a snapshot_cell from one thread; each thread needs its own reader. A
// read costs one atomic load unless a value was published since the last one.
template <typename Value>
class snapshot_reader
{
public:
    explicit snapshot_reader(const snapshot_cell<Value>& cell)
        : cell_(cell)
    {
    }

    // Returns the latest snapshot. The reference is valid until the next call;
    // copy the pointer to keep the snapshot for longer.
    const std::shared_ptr<const Value>& current()
    {
        const auto generation = cell_.generation();
        if (generation != seen_generation_)
        {
            value_ = cell_.load();
            seen_generation_ = generation;
        }
        return value_;
    }

private:
    const snapshot_cell<Value>& cell_;
    std::uint64_t seen_generation_ = 0;
    std::shared_ptr<const Value> value_;
};

} // namespace anvilturn

#endif
