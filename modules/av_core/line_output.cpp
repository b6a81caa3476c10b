#include <av_core/line_output.hpp>

#include <fcntl.h>
#include <limits.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

namespace anvilturn
{
namespace
{

static_assert(max_line_bytes <= PIPE_BUF, "lines must be written atomically");

bool is_writable(int descriptor)
{
    pollfd waiting{descriptor, POLLOUT, 0};
    return ::poll(&waiting, 1, 0) > 0 && (waiting.revents & POLLOUT) != 0;
}

} // namespace

line_output::line_output(int descriptor)
    : descriptor_(descriptor)
{
}

line_output::~line_output()
{
    if (own_ >= 0)
    {
        ::close(own_);
    }
}

bool line_output::write(std::string_view line)
{
    reopen_if_replaced();
    if (line.size() > max_line_bytes || !write_rest())
    {
        return false;
    }
    const auto sent = send(line);
    if (sent <= 0)
    {
        return false;
    }
    rest_.assign(line.substr(static_cast<std::size_t>(sent)));
    return true;
}

// Opens a description of its own if the descriptor refers to another file than
// before.
void line_output::reopen_if_replaced()
{
    struct stat status = {};
    if (::fstat(descriptor_, &status) != 0 ||
        (status.st_dev == device_ && status.st_ino == inode_))
    {
        return;
    }
    device_ = status.st_dev;
    inode_ = status.st_ino;
    rest_.clear();
    if (own_ >= 0)
    {
        ::close(own_);
        own_ = -1;
    }
    // A regular file never blocks, and a description of its own would have
    // another position in it.
    kind_ = S_ISSOCK(status.st_mode) ? file_kind::socket
            : S_ISFIFO(status.st_mode) || S_ISCHR(status.st_mode)
                ? file_kind::stream
                : file_kind::regular;
    if (kind_ == file_kind::stream)
    {
        const auto path = "/proc/self/fd/" + std::to_string(descriptor_);
        own_ =
            ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
    }
}

// Returns whether nothing is left of an earlier line.
bool line_output::write_rest()
{
    if (!rest_.empty())
    {
        const auto sent = send(rest_);
        rest_.erase(0, sent > 0 ? static_cast<std::size_t>(sent) : 0);
    }
    return rest_.empty();
}

ssize_t line_output::send(std::string_view bytes) const
{
    if (kind_ == file_kind::socket)
    {
        return ::send(descriptor_,
                      bytes.data(),
                      bytes.size(),
                      MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    if (own_ >= 0)
    {
        return ::write(own_, bytes.data(), bytes.size());
    }
    // A pipe that is writable has room for a line, unless another process
    // fills it meanwhile.
    if (kind_ == file_kind::stream && !is_writable(descriptor_))
    {
        return 0;
    }
    return ::write(descriptor_, bytes.data(), bytes.size());
}

} // namespace anvilturn
