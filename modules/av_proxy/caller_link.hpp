// Private to av_proxy.

#ifndef AV_PROXY_CALLER_LINK_HPP
#define AV_PROXY_CALLER_LINK_HPP

#include <cstddef>
#include <memory>
#include <string>

namespace anvilturn
{

class proxied_call;

// What a call may ask of the connection that it came by.
class caller_link
{
public:
    virtual ~caller_link() = default;

    // Where the answer is appended; flush sends what the caller takes now.
    virtual std::string& output() = 0;
    virtual void flush() = 0;
    virtual std::size_t unsent_bytes() const = 0;

    // Goes on reading the request's body, which was left unread while the call
    // wanted none of it.
    virtual void resume_reading() = 0;

    // The limits of time changed; see proxied_call::due.
    virtual void update_timer() = 0;

    // The answer was appended whole.
    virtual void finish_response(bool keep_alive) = 0;

    // Breaks the connection, so that the caller sees that the answer is not
    // whole.
    virtual void abort_connection() = 0;

    // Returns the call of the connection; the pointer keeps both alive.
    virtual std::shared_ptr<proxied_call> share_call() = 0;
};

} // namespace anvilturn

#endif
