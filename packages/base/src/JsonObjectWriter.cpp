#include "cuminroad/base/JsonObjectWriter.h"

#include <nlohmann/json.hpp>

namespace cuminroad {

namespace {

/// \returns whether \p Text is ASCII that a JSON string contains unchanged.
bool needsNoEscaping(std::string_view Text) {
  unsigned Special = 0;
  // Without branches, the compiler vectorizes the loop.
  for (const char Character : Text) {
    const auto Byte = static_cast<unsigned char>(Character);
    Special |= static_cast<unsigned>(Byte < 0x20) |
               static_cast<unsigned>(Byte >= 0x80) |
               static_cast<unsigned>(Byte == '"') |
               static_cast<unsigned>(Byte == '\\');
  }
  return Special == 0;
}

} // namespace

void appendJsonString(std::string &Json, std::string_view Text) {
  if (needsNoEscaping(Text)) {
    Json += '"';
    Json += Text;
    Json += '"';
    return;
  }
  // By default, dump() throws on strings that are not valid UTF-8.
  Json += nlohmann::json(Text).dump(-1, ' ', false,
                                    nlohmann::json::error_handler_t::replace);
}

JsonObjectWriter::JsonObjectWriter(std::size_t Capacity) {
  Text_.reserve(Capacity);
  Text_ += '{';
}

void JsonObjectWriter::add(std::string_view Name, std::string_view Text) {
  addName(Name);
  appendJsonString(Text_, Text);
}

void JsonObjectWriter::addJson(std::string_view Name, std::string_view Json) {
  addName(Name);
  Text_ += Json;
}

std::string JsonObjectWriter::finish() {
  Text_ += '}';
  return std::move(Text_);
}

void JsonObjectWriter::addName(std::string_view Name) {
  if (Text_.size() > 1)
    Text_ += ',';
  Text_ += '"';
  Text_ += Name;
  Text_ += "\":";
}

} // namespace cuminroad
