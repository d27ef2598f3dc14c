#ifndef CUMINROAD_BASE_MESSAGEPACK_H
#define CUMINROAD_BASE_MESSAGEPACK_H

#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "cuminroad/base/Error.h"

namespace cuminroad {

/// \returns \p Value encoded as MessagePack, the format of rows in the store
/// and of messages between daemons.
inline std::string packMessage(const nlohmann::json &Value) {
  std::string Bytes;
  nlohmann::json::to_msgpack(Value, Bytes);
  return Bytes;
}

/// \returns whether arrays and objects nest deeper in the message than any that
/// packMessage() is called with. The parser calls itself for each level, so
/// that such a message could overflow the stack.
bool isNestedTooDeeply(std::string_view Bytes);

/// Decodes a MessagePack message.
/// \param Decode converts the unpacked JSON value to T or Result<T>; it may
/// throw nlohmann::json::exception, as json's checked accessors do.
/// \returns the result of \p Decode, or MalformedInput.
template <typename T, typename F>
Result<T> unpackMessage(std::string_view Bytes, F Decode) {
  if (isNestedTooDeeply(Bytes))
    return failure(ErrorCode::MalformedInput, "nested too deeply");
  try {
    return Decode(nlohmann::json::from_msgpack(Bytes));
  } catch (const nlohmann::json::exception &Exception) {
    return failure(ErrorCode::MalformedInput, Exception.what());
  }
}

} // namespace cuminroad

#endif
