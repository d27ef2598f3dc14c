#include "cuminroad/net/Encoding.h"

#include <restinio/utils/base64.hpp>
#include <restinio/utils/percent_encoding.hpp>

namespace cuminroad {

std::string encodeBase64(std::string_view Bytes) {
  return restinio::utils::base64::encode(
      restinio::string_view_t(Bytes.data(), Bytes.size()));
}

Result<std::string> decodeBase64(std::string_view Text) {
  auto Bytes = restinio::utils::base64::try_decode(
      restinio::string_view_t(Text.data(), Text.size()));
  if (!Bytes)
    return failure(ErrorCode::MalformedInput, "base64");
  return std::move(*Bytes);
}

std::string escapeQuery(std::string_view Text) {
  return restinio::utils::escape_percent_encoding(
      restinio::string_view_t(Text.data(), Text.size()));
}

} // namespace cuminroad
