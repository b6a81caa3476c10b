// The fields of a caller's key and of a call's account: what a caller sends in
// them must reach nobody, however it is written.

#include <av_http/av_http.hpp>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace anvilturn
{
namespace
{

header_dialect dialect_with_accounts()
{
    header_dialect dialect;
    dialect.api_key_ = "X-Key";
    dialect.account_ = "X-Account";
    // Nothing else may remove the fields.
    dialect.internal_field_prefix_.clear();
    return dialect;
}

// Reads a request in pieces of that size. Returns its header.
request_head read_head(const std::string& input,
                       const header_dialect& dialect,
                       std::size_t piece_size)
{
    request_reader reader(http_limits{}, dialect);
    std::string body;
    std::size_t used = 0;
    read_result step;
    for (std::size_t arrived = 0; arrived < input.size();)
    {
        arrived = std::min(input.size(), arrived + piece_size);
        do
        {
            step = reader.read(
                std::string_view(input).substr(used, arrived - used), body);
            used += step.consumed_;
        } while (step.consumed_ > 0 && used < arrived &&
                 step.state_ != read_state::complete);
    }
    BOOST_TEST((step.state_ == read_state::complete));
    return reader.head();
}

struct field_case
{
    std::string fields_;
    std::string key_;
    bool repeated_ = false;
};

// Returns each form in which a key or a forged account may come.
std::vector<field_case> field_cases()
{
    return {{"X-Key: ta1\r\n", "ta1"},
            {"x-key: ta1\r\n", "ta1"},
            {"X-KEY:ta1\r\n", "ta1"},
            {"X-Key:  \t ta1 \t\r\n", "ta1"},
            {"X-Key:\r\n", ""},
            {"", ""},
            {"X-Key: ta1\r\nX-Key: ta1\r\n", "ta1", true},
            {"X-Key: ta1\r\nx-kEY: ta2\r\n", "ta2", true},
            {"X-Key:\r\nX-Key: ta1\r\n", "ta1", true},
            {"X-Key: ta1\r\nX-Key:\r\n", "", true},
            {"X-Key: ta1\r\nX-Key: ta1\r\nX-Key: ta1\r\n", "ta1", true},
            {"X-Key: ta1, ta2\r\n", "ta1, ta2"},
            {"Connection: X-Key\r\nX-Key: ta1\r\n", "ta1"},
            {"X-Key: ta1\r\nConnection: x-key\r\n", "ta1"},
            {"X-Account: forged\r\n", ""},
            {"x-aCCOUNT: forged\r\n", ""},
            {"X-Account: forged\r\nX-Account: forged\r\n", ""},
            {"Connection: X-Account\r\nX-Account: forged\r\n", ""},
            {"X-Account: forged\r\nX-Key: ta1\r\n", "ta1"}};
}

std::string written(const request_head& head,
                    const header_dialect& dialect,
                    const std::string& account)
{
    std::string output;
    request_additions additions;
    additions.deadline_left_ = milliseconds(100.0);
    additions.account_ = account;
    write_request_head(output, head, additions, dialect);
    return output;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

std::size_t count_of(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
    {
        ++count;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(account_fields)

// Guards against fields that pass in another letter case, twice, or named in
// Connection.
BOOST_AUTO_TEST_CASE(key_and_forged_account_are_never_forwarded)
{
    const auto dialect = dialect_with_accounts();
    for (const auto& one : field_cases())
    {
        for (const std::size_t piece_size : {100000, 7, 1})
        {
            BOOST_TEST_CONTEXT(one.fields_ << " in pieces of " << piece_size)
            {
                const auto head =
                    read_head("GET /a HTTP/1.1\r\nHost: h\r\nX-Other: 1\r\n" +
                                  one.fields_ + "\r\n",
                              dialect,
                              piece_size);
                BOOST_TEST(head.api_key_ == one.key_);
                BOOST_TEST(head.api_key_repeated_ == one.repeated_);
                const auto without = written(head, dialect, "");
                BOOST_TEST(contains(without, "X-Other: 1\r\n"));
                BOOST_TEST(!contains(without, "ta1"));
                BOOST_TEST(!contains(without, "ta2"));
                BOOST_TEST(!contains(without, "forged"));
                const auto with = written(head, dialect, "lestari");
                BOOST_TEST(!contains(with, "forged"));
                BOOST_TEST(count_of(with, "X-Account: lestari\r\n") == 1U);
            }
        }
    }
}

// Some recipients merge trailers into the header.
BOOST_AUTO_TEST_CASE(a_trailer_sets_neither_key_nor_account)
{
    const auto dialect = dialect_with_accounts();
    for (const std::size_t piece_size : {100000, 7, 1})
    {
        const auto head =
            read_head("POST /a HTTP/1.1\r\nHost: h\r\n"
                      "Transfer-Encoding: chunked\r\n"
                      "Trailer: X-Key, X-Account\r\n\r\n"
                      "3\r\nabc\r\n0\r\nX-Key: ta1\r\nX-Account: forged\r\n"
                      "\r\n",
                      dialect,
                      piece_size);
        BOOST_TEST(head.api_key_.empty());
        const auto text = written(head, dialect, "");
        BOOST_TEST(!contains(text, "ta1"));
        BOOST_TEST(!contains(text, "forged"));
        BOOST_TEST(!contains(text, "Trailer"));
    }
}

// One connection reads its requests with the same object.
BOOST_AUTO_TEST_CASE(the_next_request_does_not_inherit_a_key)
{
    const auto dialect = dialect_with_accounts();
    request_reader reader(http_limits{}, dialect);
    std::string body;
    reader.read("GET /a HTTP/1.1\r\nHost: h\r\nX-Key: ta1\r\nX-Key: ta1\r\n"
                "X-Account: forged\r\n\r\n",
                body);
    BOOST_TEST(reader.head().api_key_ == "ta1");
    reader.reset();
    reader.read("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", body);
    BOOST_TEST(reader.head().api_key_.empty());
    BOOST_TEST(reader.head().account_.empty());
    BOOST_TEST(!reader.head().api_key_repeated_);
}

// Guards against a dialect whose fields of key and account are forwarded.
BOOST_AUTO_TEST_CASE(the_native_dialect_drops_both_fields)
{
    const auto head = read_head("GET /a HTTP/1.1\r\nHost: h\r\n"
                                "Anvilturn-Api-Key: ta1\r\n"
                                "anvilturn-account: forged\r\n\r\n",
                                native_dialect(),
                                100000);
    BOOST_TEST(head.api_key_ == "ta1");
    BOOST_TEST(head.fields_ == "Host: h\r\n");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn
