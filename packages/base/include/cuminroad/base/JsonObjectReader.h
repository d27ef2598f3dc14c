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

/// An inclusive range of integers.
struct IntegerRange {
  std::int64_t Low;
  std::int64_t High;
};

/// Reads the fields of one JSON object, checks them, and collects each error
/// with the path of its field, so that all errors of an input are reported at
/// once. The object and the list of errors must outlive the reader.
class JsonObjectReader {
public:
  /// \param Path path of the object in the input, "" for the whole input.
  JsonObjectReader(const nlohmann::json &Object, std::string Path,
                   std::vector<Error> &Errors);

  /// \returns the required string, or "" after recording an error if the field
  /// is missing, of another type or empty.
  std::string text(std::string_view Name);
  /// \returns the string, or \p Default if the field is missing or of another
  /// type; the latter is recorded as an error.
  std::string text(std::string_view Name, std::string_view Default);
  /// \returns the required integer, or the low end of \p Range after recording
  /// an error.
  std::int64_t integer(std::string_view Name, IntegerRange Range);
  std::int64_t integer(std::string_view Name, IntegerRange Range,
                       std::int64_t Default);
  bool boolean(std::string_view Name, bool Default);
  /// \returns the strings of an optional array; each entry of another type is
  /// recorded as an error and left out.
  std::vector<std::string> texts(std::string_view Name);
  /// \returns the field, or null if it is missing.
  const nlohmann::json *member(std::string_view Name);
  /// \returns the path of field \p Name in the input.
  std::string pathOf(std::string_view Name) const;
  /// Records an error of field \p Name.
  void addError(ErrorCode Code, std::string_view Name, std::string_view Reason);
  /// Records an error for each field that was not read.
  void finish();

private:
  const nlohmann::json &Object_;
  std::string Path_;
  std::vector<Error> &Errors_;
  /// Fields that were read; finish() reports the others as unknown.
  std::set<std::string, std::less<>> ReadNames_;
};

/// Parses JSON text; with \p Comments, // and /* */ comments are allowed.
/// \returns the value, or MalformedInput with the position.
Result<nlohmann::json> parseJson(std::string_view Text, bool Comments);

/// \returns one error with the code of the first one and the details of all.
/// \p Errors must not be empty.
Error joinErrors(const std::vector<Error> &Errors);

} // namespace cuminroad

#endif
