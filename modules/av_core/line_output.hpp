// Private to av_core.

#ifndef AV_CORE_LINE_OUTPUT_HPP
#define AV_CORE_LINE_OUTPUT_HPP

#include <sys/types.h>

#include <string>
#include <string_view>

namespace anvilturn
{

// Most bytes of a line. A pipe takes so many at once or not at all, so that
// lines of other processes that share it never come between.
constexpr std::size_t max_line_bytes = 4096;

// Writes whole lines to a descriptor without ever waiting for its reader. The
// descriptor itself stays blocking, since other processes may share it.
class line_output
{
public:
    explicit line_output(int descriptor);
    ~line_output();
    line_output(const line_output&) = delete;
    line_output& operator=(const line_output&) = delete;

    // Returns false if the line was dropped. The rest of a line of which only a
    // part was taken is kept, and written before the next line.
    bool write(std::string_view line);

private:
    enum class file_kind
    {
        regular,
        socket,
        // A pipe or terminal. own_ is a non-blocking description of it, if
        // one could be opened.
        stream
    };

    void reopen_if_replaced();
    bool write_rest();
    ssize_t send(std::string_view bytes) const;

    int descriptor_;
    int own_ = -1;
    file_kind kind_ = file_kind::regular;
    dev_t device_ = 0;
    ino_t inode_ = 0;
    std::string rest_;
};

} // namespace anvilturn

#endif
