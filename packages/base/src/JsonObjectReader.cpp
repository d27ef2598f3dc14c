#include "cuminroad/base/JsonObjectReader.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace cuminroad {

JsonObjectReader::JsonObjectReader(const nlohmann::json &Object,
                                   std::string Path, std::vector<Error> &Errors)
    : Object_(Object), Path_(std::move(Path)), Errors_(Errors) {
  if (!Object.is_object())
    Errors_.push_back(Error{
        ErrorCode::ValueOutOfRange,
        fmt::format("{}: must be an object", Path_.empty() ? "input" : Path_)});
}

std::string JsonObjectReader::pathOf(std::string_view Name) const {
  return Path_.empty() ? std::string(Name) : fmt::format("{}.{}", Path_, Name);
}

void JsonObjectReader::addError(ErrorCode Code, std::string_view Name,
                                std::string_view Reason) {
  Errors_.push_back(Error{Code, fmt::format("{}: {}", pathOf(Name), Reason)});
}

const nlohmann::json *JsonObjectReader::member(std::string_view Name) {
  ReadNames_.emplace(Name);
  if (!Object_.is_object())
    return nullptr;
  const auto Found = Object_.find(std::string(Name));
  return Found == Object_.end() ? nullptr : &*Found;
}

std::string JsonObjectReader::text(std::string_view Name) {
  if (member(Name) == nullptr) {
    addError(ErrorCode::MissingField, Name, "is required");
    return {};
  }
  std::string Value = text(Name, "");
  if (Value.empty())
    addError(ErrorCode::ValueOutOfRange, Name, "must be a non-empty string");
  return Value;
}

std::string JsonObjectReader::text(std::string_view Name,
                                   std::string_view Default) {
  const nlohmann::json *Value = member(Name);
  if (Value == nullptr)
    return std::string(Default);
  if (!Value->is_string()) {
    addError(ErrorCode::ValueOutOfRange, Name, "must be a string");
    return std::string(Default);
  }
  return Value->get<std::string>();
}

std::int64_t JsonObjectReader::integer(std::string_view Name,
                                       IntegerRange Range) {
  if (member(Name) == nullptr) {
    addError(ErrorCode::MissingField, Name, "is required");
    return Range.Low;
  }
  return integer(Name, Range, Range.Low);
}

std::int64_t JsonObjectReader::integer(std::string_view Name,
                                       IntegerRange Range,
                                       std::int64_t Default) {
  const nlohmann::json *Value = member(Name);
  if (Value == nullptr)
    return Default;
  // get<int64_t>() wraps around for a number above the signed range.
  const bool TooLarge =
      Value->is_number_unsigned() &&
      Value->get<std::uint64_t>() > static_cast<std::uint64_t>(Range.High);
  if (!Value->is_number_integer() || TooLarge ||
      Value->get<std::int64_t>() < Range.Low ||
      Value->get<std::int64_t>() > Range.High) {
    addError(
        ErrorCode::ValueOutOfRange, Name,
        fmt::format("must be an integer from {} to {}", Range.Low, Range.High));
    return Default;
  }
  return Value->get<std::int64_t>();
}

bool JsonObjectReader::boolean(std::string_view Name, bool Default) {
  const nlohmann::json *Value = member(Name);
  if (Value == nullptr)
    return Default;
  if (!Value->is_boolean()) {
    addError(ErrorCode::ValueOutOfRange, Name, "must be true or false");
    return Default;
  }
  return Value->get<bool>();
}

std::vector<std::string> JsonObjectReader::texts(std::string_view Name) {
  std::vector<std::string> Texts;
  const nlohmann::json *Value = member(Name);
  if (Value == nullptr)
    return Texts;
  if (!Value->is_array()) {
    addError(ErrorCode::ValueOutOfRange, Name, "must be an array of strings");
    return Texts;
  }
  for (const nlohmann::json &Entry : *Value) {
    if (Entry.is_string())
      Texts.push_back(Entry.get<std::string>());
    else
      addError(ErrorCode::ValueOutOfRange, Name, "must be an array of strings");
  }
  return Texts;
}

void JsonObjectReader::finish() {
  if (!Object_.is_object())
    return;
  for (const auto &[Name, Value] : Object_.items())
    if (!ReadNames_.contains(Name))
      addError(ErrorCode::UnknownField, Name, "is unknown");
}

Result<nlohmann::json> parseJson(std::string_view Text, bool Comments) {
  try {
    return nlohmann::json::parse(Text, nullptr, true, Comments);
  } catch (const nlohmann::json::parse_error &Exception) {
    return failure(ErrorCode::MalformedInput, Exception.what());
  }
}

Error joinErrors(const std::vector<Error> &Errors) {
  Error Joined{Errors.front().Code, {}};
  for (const Error &Each : Errors)
    Joined.Detail += (Joined.Detail.empty() ? "" : "; ") + Each.Detail;
  return Joined;
}

} // namespace cuminroad
