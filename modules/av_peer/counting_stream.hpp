#ifndef AV_PEER_COUNTING_STREAM_HPP
#define AV_PEER_COUNTING_STREAM_HPP

// Only for the source files of this module: it includes KJ.

#include <av_peer/peer_counters.hpp>

#include <kj/async-io.h>

namespace anvilturn
{

// A stream that counts the bytes that pass it.
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
