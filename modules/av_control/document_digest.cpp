#include <av_control/document_digest.hpp>

#include <openssl/evp.h>

#include <array>
#include <cassert>

namespace anvilturn
{

std::string document_digest(const std::string& text)
{
    constexpr char digits[] = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned size = 0;
    const int done = EVP_Digest(
        text.data(), text.size(), bytes.data(), &size, EVP_sha256(), nullptr);
    assert(done == 1);
    static_cast<void>(done);
    std::string result;
    for (unsigned i = 0; i < size; ++i)
    {
        result += digits[bytes[i] >> 4U];
        result += digits[bytes[i] & 15U];
    }
    return result;
}

} // namespace anvilturn
