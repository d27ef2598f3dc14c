#ifndef CUMINROAD_FLEET_SRC_STOREMESSAGES_H
#define CUMINROAD_FLEET_SRC_STOREMESSAGES_H

#include <string>
#include <string_view>
#include <variant>

#include "cuminroad/base/Error.h"
#include "cuminroad/store/RowStore.h"

// Calls of the store that one daemon makes for another, in MessagePack.

namespace cuminroad {

inline constexpr std::string_view StoreCallPath = "/peer/store";
/// Answered with 200 by a daemon that has lately reached the store.
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
  RowChanges Request;
};
using StoreCall = std::variant<CommitCall, ReadCall, ChangesCall>;

/// An answer with the store's time as the peer knows it.
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
