#ifndef AV_PEER_COUNTING_STREAM_HPP
#define AV_PEER_COUNTING_STREAM_HPP

// Internal to this module, since it includes KJ headers.

#include <av_peer/peer_counters.hpp>

#include <kj/async-io.h>

namespace anvilturn
{

// Adds the bytes read from and written to another stream to peer_counters.
class counting_stream final : public kj::AsyncIoStream
{
public:
    counting_stream(kj::Own<kj::AsyncIoStream> stream, peer_counters& counters);

    kj::Promise<size_t>
    tryRead(void* buffer, size_t min_bytes, size_t max_bytes) override;
    kj::Promise<void> write(const void* buffer, size_t size) override;
    kj::Promise<void>
    write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;

private:
    kj::Own<kj::AsyncIoStream> stream_;
    peer_counters& counters_;
};

} // namespace anvilturn

#endif
