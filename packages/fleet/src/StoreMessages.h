#ifndef CUMINROAD_FLEET_SRC_STOREMESSAGES_H
#define CUMINROAD_FLEET_SRC_STOREMESSAGES_H

#include <string>
#include <string_view>
#include <variant>

#include "cuminroad/base/Error.h"
#include "cuminroad/store/RowStore.h"

// Messages, in MessagePack, for calls to the store that one daemon makes for
// another.

namespace cuminroad {

inline constexpr std::string_view StoreCallPath = "/peer/store";
/// A daemon that has recently reached the store answers with status 200.
inline constexpr std::string_view StoreReachablePath = "/peer/reach";

struct CommitCall {
  RowTransaction Change;
  milliseconds Timeout{0};
};
struct ReadCall {
  RowRange Range;
  milliseconds Timeout{0};
};
struct ChangesCall {
  ChangesQuery Request;
};
using StoreCall = std::variant<CommitCall, ReadCall, ChangesCall>;

/// A store's response, with the store's time as known by the peer.
template <typename T> struct StoreResponse {
  Result<T> Value;
  milliseconds StoreTime{0};
};

std::string encode(const StoreCall &Call);
Result<StoreCall> decodeStoreCall(std::string_view Bytes);
std::string encode(const StoreResponse<RowCommit> &Response);
std::string encode(const StoreResponse<RowPage> &Response);
Result<StoreResponse<RowCommit>> decodeCommitResponse(std::string_view Bytes);
Result<StoreResponse<RowPage>> decodePageResponse(std::string_view Bytes);

} // namespace cuminroad

#endif
