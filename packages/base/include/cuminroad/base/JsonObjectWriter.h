#ifndef CUMINROAD_BASE_JSONOBJECTWRITER_H
#define CUMINROAD_BASE_JSONOBJECTWRITER_H

#include <concepts>
#include <cstddef>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace cuminroad {

/// Appends \p Text to \p Json as a JSON string. Bytes that are not valid UTF-8
/// are replaced by U+FFFD.
void appendJsonString(std::string &Json, std::string_view Text);

/// Writes one JSON object without spaces, member by member, into a string. The
/// names of members must need no escaping.
class JsonObjectWriter {
public:
  /// \param Capacity expected number of bytes; more are allocated if needed.
  explicit JsonObjectWriter(std::size_t Capacity);

  /// Adds a string, as appendJsonString() does.
  void add(std::string_view Name, std::string_view Text);
  /// Adds a whole number.
  template <std::integral T> void add(std::string_view Name, T Number) {
    const fmt::format_int Digits(Number);
    addJson(Name, {Digits.data(), Digits.size()});
  }
  /// Adds a value that is JSON text.
  void addJson(std::string_view Name, std::string_view Json);

  /// Closes the object. \returns it; the writer can't be used any more.
  std::string finish();

private:
  void addName(std::string_view Name);

  std::string Text_;
};

} // namespace cuminroad

#endif
