#ifndef CUMINROAD_FLEET_QUERYRESULT_H
#define CUMINROAD_FLEET_QUERYRESULT_H

#include <optional>
#include <utility>

namespace cuminroad {

/// The answer to a query about a job or a queue.
template <typename T> struct QueryResult {
  /// Empty if the answer can't be determined at present.
  std::optional<T> Value;

  static QueryResult known(T Answer) {
    QueryResult Out;
    // Assigning an empty optional would be taken for an unknown answer.
    Out.Value.emplace(std::move(Answer));
    return Out;
  }
  static QueryResult unknown() { return {}; }
};

} // namespace cuminroad

#endif
