#ifndef CUMINROAD_BASE_JSONOBJECTREADER_H
#define CUMINROAD_BASE_JSONOBJECTREADER_H

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "cuminroad/base/Error.h"

namespace cuminroad {

/// An inclusive range of whole numbers.
struct IntegerRange {
  std::int64_t Low;
  std::int64_t High;
};

/// Reads the fields of one JSON object and gathers every error with its path,
/// so that all errors of an input are reported at once. The object and the
/// list of faults must outlive the reader.
class JsonObjectReader {
public:
  /// \param Path where the object stands, "" for the whole input.
  JsonObjectReader(const nlohmann::json &Object, std::string Path,
                   std::vector<Error> &Errors);

  /// \returns the required text, or "" with an error recorded. A required text
  /// may not be empty.
  std::string text(std::string_view Name);
  std::string text(std::string_view Name, std::string_view Default);
  /// \returns the required number, or the low end with an error recorded.
  std::int64_t integer(std::string_view Name, IntegerRange Range);
  std::int64_t integer(std::string_view Name, IntegerRange Range,
                       std::int64_t Default);
  bool boolean(std::string_view Name, bool Default);
  std::vector<std::string> texts(std::string_view Name);
  /// \returns the member, or null where it is absent.
  const nlohmann::json *member(std::string_view Name);
  /// \returns the path of member \p Name.
  std::string pathOf(std::string_view Name) const;
  void addError(ErrorCode Code, std::string_view Name, std::string_view Reason);
  /// Notes an error for each field that was not asked for.
  void finish();

private:
  const nlohmann::json &Object_;
  std::string Path_;
  std::vector<Error> &Errors_;
  std::set<std::string, std::less<>> ReadNames_;
};

/// Parses JSON text; with \p Comments, // and /* */ comments are allowed.
/// \returns the value, or MalformedInput with the position.
Result<nlohmann::json> parseJson(std::string_view Text, bool Comments);

/// \returns all faults as one failure of the first one's type.
Error joinErrors(const std::vector<Error> &Errors);

} // namespace cuminroad

#endif
