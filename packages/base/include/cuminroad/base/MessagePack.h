#ifndef CUMINROAD_BASE_MESSAGEPACK_H
#define CUMINROAD_BASE_MESSAGEPACK_H

#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "cuminroad/base/Error.h"

namespace cuminroad {

/// \returns \p Value as MessagePack, the form of rows in the store and of
/// messages between daemons.
inline std::string packMessage(const nlohmann::json &Value) {
  std::string Bytes;
  nlohmann::json::to_msgpack(Value, Bytes);
  return Bytes;
}

/// \param Decode makes a value of the unpacked message; it may throw
/// nlohmann::json::exception, as json's checked access does, or return a
/// Result.
/// \returns what \p Decode made, or MalformedInput.
template <typename T, typename F>
Result<T> unpackMessage(std::string_view Bytes, F Decode) {
  try {
    return Decode(nlohmann::json::from_msgpack(Bytes));
  } catch (const nlohmann::json::exception &Exception) {
    return failure(ErrorCode::MalformedInput, Exception.what());
  }
}

} // namespace cuminroad

#endif
