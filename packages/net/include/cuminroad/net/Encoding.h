#ifndef CUMINROAD_NET_ENCODING_H
#define CUMINROAD_NET_ENCODING_H

#include <string>
#include <string_view>

#include "cuminroad/base/Error.h"

namespace cuminroad {

std::string encodeBase64(std::string_view Bytes);
/// \returns the decoded bytes, or MalformedInput.
Result<std::string> decodeBase64(std::string_view Text);
/// Percent-encodes \p Text for use in the query of a URL.
std::string escapeQuery(std::string_view Text);

} // namespace cuminroad

#endif
