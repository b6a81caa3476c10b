#ifndef AV_ACCEPTOR_RELEASE_ACCEPTOR_HPP
#define AV_ACCEPTOR_RELEASE_ACCEPTOR_HPP

#include <av_platform/platform_client.hpp>
#include <av_release/acceptance.hpp>

#include <functional>
#include <memory>
#include <string>

namespace anvilturn
{

// Settings of a release_acceptor.
struct release_acceptor_options
{
    // Key of the platform object that holds the release, see release_key.
    std::string key_;
    release_limits release_limits_;
    acceptance_limits acceptance_limits_;
};

// Accepts release notes by conditional writes of the platform object that holds
// the newest release (the release head), and determines whether a given note
// was accepted. Several calls may run at once; their writes of the head may
// conflict like those of different VMs. Use it on the thread of the io_context.
class release_acceptor
{
public:
    using callback = std::function<void(const finish_acceptance& result)>;
    // Returns the release version in force on this VM.
    using version_source = std::function<release_version()>;

    // The client must outlive the acceptor.
    release_acceptor(boost::asio::io_context& context,
                     platform_client& client,
                     const release_acceptor_options& options,
                     version_source get_in_force);
    ~release_acceptor();

    release_acceptor(const release_acceptor&) = delete;
    release_acceptor& operator=(const release_acceptor&) = delete;

    // Applies the note to the newest release and writes the result to the
    // platform. Calls back asynchronously, once, unless the acceptor is
    // destroyed first. If the outcome is unknown, use settle.
    void accept(const release_note& note, callback done);
    // Finds out whether the note of that id was accepted. Calls back like
    // accept.
    void settle(const std::string& note_id, callback done);

    // Returns the number of calls of accept and settle in progress, so that a
    // graceful shutdown can wait for them.
    std::size_t running_count() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
