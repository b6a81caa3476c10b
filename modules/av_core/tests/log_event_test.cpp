#include <av_core/log_event.hpp>

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <future>
#include <string>

using namespace anvilturn;

namespace
{

constexpr std::size_t page_bytes = 4096;

// Replaces standard output by a pipe whose reader the test controls. The pipe
// blocks its writers, as one shared with another process does.
class stalled_output
{
public:
    stalled_output()
        : before_(::dup(STDOUT_FILENO))
    {
        BOOST_TEST_REQUIRE(::pipe2(ends_, O_CLOEXEC) == 0);
        ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
        ::dup2(ends_[1], STDOUT_FILENO);
        configure_logging(log_level::info, "vm-1");
    }

    ~stalled_output()
    {
        ::dup2(before_, STDOUT_FILENO);
        ::close(before_);
        ::close(ends_[0]);
        ::close(ends_[1]);
    }

    stalled_output(const stalled_output&) = delete;
    stalled_output& operator=(const stalled_output&) = delete;

    // Fills the pipe except for so many bytes.
    void fill_except(std::size_t free_bytes) const
    {
        const auto capacity =
            static_cast<std::size_t>(::fcntl(ends_[1], F_GETPIPE_SZ));
        const std::string block(page_bytes - 1, 'x');
        for (auto left = capacity; left > free_bytes; left -= page_bytes)
        {
            BOOST_TEST_REQUIRE(::write(ends_[1],
                                       (block + "\n").data(),
                                       page_bytes) == page_bytes);
        }
    }

    // Returns what the pipe contains, without the lines that fill it.
    std::string read() const
    {
        std::string all;
        char bytes[page_bytes];
        for (ssize_t count = 0;
             (count = ::read(ends_[0], bytes, sizeof bytes)) > 0;)
        {
            all.append(bytes, static_cast<std::size_t>(count));
        }
        const auto last = all.rfind("xx\n");
        return last == std::string::npos ? all : all.substr(last + 3);
    }

    // Returns whether the writers of the pipe still wait for its reader.
    bool blocks() const
    {
        return (::fcntl(ends_[1], F_GETFL) & O_NONBLOCK) == 0;
    }

private:
    int before_;
    int ends_[2] = {-1, -1};
};

// Writes the line on a thread of its own. Returns whether that has ended
// although nobody reads, and reads if not, so that it ends.
bool writes_without_reader(const log_event& event, const stalled_output& output)
{
    auto writing = std::async(std::launch::async,
                              [&event]
                              {
                                  event.write();
                              });
    const bool done =
        writing.wait_for(std::chrono::seconds(2)) == std::future_status::ready;
    while (!done && writing.wait_for(std::chrono::milliseconds(10)) !=
                        std::future_status::ready)
    {
        output.read();
    }
    return done;
}

log_event long_event()
{
    log_event event(log_level::error, "target_registered");
    event.field("service", std::string(70000, 's')).field("revision", 7);
    return event;
}

} // namespace

BOOST_AUTO_TEST_SUITE(log_line)

BOOST_AUTO_TEST_CASE(fields_are_key_value_pairs)
{
    log_event event(log_level::info, "release_accepted");
    event.field("version", 7).field("share", 0.5).field("first", true);
    BOOST_TEST(event.text() ==
               "event=release_accepted version=7 share=0.500 first=true");
}

BOOST_AUTO_TEST_CASE(control_characters_and_quotes_are_escaped)
{
    log_event event(log_level::info, "x");
    event.field("path", "/a b\n\"c\"");
    BOOST_TEST(event.text() == "event=x path=\"/a b\\x0a\\\"c\\\"\"");
}

// A pipe with a free page counts as writable; a longer line blocked the whole
// process until its log was read.
BOOST_AUTO_TEST_CASE(line_longer_than_the_free_space_does_not_block)
{
    const stalled_output output;
    output.fill_except(page_bytes);
    const bool ended = writes_without_reader(long_event(), output);
    BOOST_TEST_REQUIRE(ended);
    BOOST_TEST(output.blocks());
    const auto text = output.read();
    BOOST_TEST(text.size() <= page_bytes);
    BOOST_TEST(text.find("process=vm-1 time_ms=") == 0U);
    BOOST_TEST(text.find("sss... revision=7\n") + 18 == text.size());
}

// Guards against parts of lines, and against lines that are lost unnoticed.
BOOST_AUTO_TEST_CASE(lines_that_do_not_fit_are_dropped_whole_and_counted)
{
    const stalled_output output;
    output.fill_except(page_bytes);
    const auto before = dropped_log_lines();
    for (int i = 0; i < 4; ++i)
    {
        BOOST_TEST(writes_without_reader(long_event(), output));
    }
    const auto dropped = dropped_log_lines() - before;
    BOOST_TEST(dropped == 3U);
    const auto first = output.read();
    BOOST_TEST(first.find('\n') + 1 == first.size());
    log_event(log_level::error, "next").write();
    const auto text = output.read();
    BOOST_TEST(text.find("process=vm-1 time_ms=") == 0U);
    const auto notice = text.find(
        " level=warning event=log_lines_dropped count=3\nprocess=vm-1 ");
    BOOST_TEST_REQUIRE(notice != std::string::npos);
    BOOST_TEST(text.find(" level=error event=next\n", notice) !=
               std::string::npos);
    log_event(log_level::error, "after").write();
    BOOST_TEST(output.read().find("log_lines_dropped") == std::string::npos);
}

// All fields together fit into what a pipe takes at once.
BOOST_AUTO_TEST_CASE(long_values_are_shortened)
{
    log_event event(log_level::info, "x");
    for (const char* key : {"a", "b", "c", "d"})
    {
        event.field(key, std::string(5000, '\n'));
    }
    event.field("plain", std::string(5000, 'p'));
    BOOST_TEST(event.text().size() < 3700U);
    BOOST_TEST(event.text().find("\\x0a...\" b=") != std::string::npos);
    log_event word(log_level::info, "x");
    word.field("city", std::string(3000, 'a') + "\u00e9");
    BOOST_TEST(word.text().size() < 3000U);
}

BOOST_AUTO_TEST_SUITE_END()
