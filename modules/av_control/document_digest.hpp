#ifndef AV_CONTROL_DOCUMENT_DIGEST_HPP
#define AV_CONTROL_DOCUMENT_DIGEST_HPP

#include <string>

namespace anvilturn
{

// Returns the SHA-256 digest of the text in hexadecimal digits.
std::string document_digest(const std::string& text);

} // namespace anvilturn

#endif
