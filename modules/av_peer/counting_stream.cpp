#include <av_peer/counting_stream.hpp>

#include <utility>

namespace anvilturn
{

counting_stream::counting_stream(kj::Own<kj::AsyncIoStream> stream,
                                 peer_counters& counters)
    : stream_(kj::mv(stream))
    , counters_(counters)
{
}

kj::Promise<size_t>
counting_stream::tryRead(void* buffer, size_t min_bytes, size_t max_bytes)
{
    auto& received = counters_.bytes_received_;
    return stream_->tryRead(buffer, min_bytes, max_bytes)
        .then(
            [&received](size_t size)
            {
                received += size;
                return size;
            });
}

kj::Promise<void> counting_stream::write(const void* buffer, size_t size)
{
    counters_.bytes_sent_ += size;
    return stream_->write(buffer, size);
}

kj::Promise<void>
counting_stream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    for (const auto& piece : pieces)
    {
        counters_.bytes_sent_ += piece.size();
    }
    return stream_->write(pieces);
}

kj::Promise<void> counting_stream::whenWriteDisconnected()
{
    return stream_->whenWriteDisconnected();
}

void counting_stream::shutdownWrite()
{
    stream_->shutdownWrite();
}

void counting_stream::abortRead()
{
    stream_->abortRead();
}

} // namespace anvilturn
