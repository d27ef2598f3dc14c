#include "cuminroad/base/ObjectReader.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace cuminroad {

ObjectReader::ObjectReader(const nlohmann::json &Object, std::string Path,
                           std::vector<Error> &Faults)
    : Object_(Object), Path_(std::move(Path)), Faults_(Faults) {
  if (!Object.is_object())
    Faults_.push_back(Error{
        ErrorCode::ValueOutOfRange,
        fmt::format("{}: must be an object", Path_.empty() ? "input" : Path_)});
}

std::string ObjectReader::pathOf(std::string_view Name) const {
  return Path_.empty() ? std::string(Name) : fmt::format("{}.{}", Path_, Name);
}

void ObjectReader::fault(ErrorCode Code, std::string_view Name,
                         std::string_view Why) {
  Faults_.push_back(Error{Code, fmt::format("{}: {}", pathOf(Name), Why)});
}

const nlohmann::json *ObjectReader::member(std::string_view Name) {
  Known_.emplace(Name);
  if (!Object_.is_object())
    return nullptr;
  const auto Found = Object_.find(std::string(Name));
  return Found == Object_.end() ? nullptr : &*Found;
}

std::string ObjectReader::text(std::string_view Name) {
  if (member(Name) == nullptr) {
    fault(ErrorCode::MissingField, Name, "is required");
    return {};
  }
  std::string Value = text(Name, "");
  if (Value.empty())
    fault(ErrorCode::ValueOutOfRange, Name, "must be a non-empty text");
  return Value;
}

std::string ObjectReader::text(std::string_view Name,
                               std::string_view Default) {
  const nlohmann::json *Value = member(Name);
  if (Value == nullptr)
    return std::string(Default);
  if (!Value->is_string()) {
    fault(ErrorCode::ValueOutOfRange, Name, "must be a text");
    return std::string(Default);
  }
  return Value->get<std::string>();
}

std::int64_t ObjectReader::integer(std::string_view Name, IntegerRange Range) {
  if (member(Name) == nullptr) {
    fault(ErrorCode::MissingField, Name, "is required");
    return Range.Low;
  }
  return integer(Name, Range, Range.Low);
}

std::int64_t ObjectReader::integer(std::string_view Name, IntegerRange Range,
                                   std::int64_t Default) {
  const nlohmann::json *Value = member(Name);
  if (Value == nullptr)
    return Default;
  // A number above the signed range would wrap round in get<int64_t>().
  const bool TooLarge =
      Value->is_number_unsigned() &&
      Value->get<std::uint64_t>() > static_cast<std::uint64_t>(Range.High);
  if (!Value->is_number_integer() || TooLarge ||
      Value->get<std::int64_t>() < Range.Low ||
      Value->get<std::int64_t>() > Range.High) {
    fault(ErrorCode::ValueOutOfRange, Name,
          fmt::format("must be a whole number from {} to {}", Range.Low,
                      Range.High));
    return Default;
  }
  return Value->get<std::int64_t>();
}

bool ObjectReader::boolean(std::string_view Name, bool Default) {
  const nlohmann::json *Value = member(Name);
  if (Value == nullptr)
    return Default;
  if (!Value->is_boolean()) {
    fault(ErrorCode::ValueOutOfRange, Name, "must be true or false");
    return Default;
  }
  return Value->get<bool>();
}

std::vector<std::string> ObjectReader::texts(std::string_view Name) {
  std::vector<std::string> Out;
  const nlohmann::json *Value = member(Name);
  if (Value == nullptr)
    return Out;
  if (!Value->is_array()) {
    fault(ErrorCode::ValueOutOfRange, Name, "must be a list of texts");
    return Out;
  }
  for (const nlohmann::json &Entry : *Value) {
    if (Entry.is_string())
      Out.push_back(Entry.get<std::string>());
    else
      fault(ErrorCode::ValueOutOfRange, Name, "must be a list of texts");
  }
  return Out;
}

void ObjectReader::finish() {
  if (!Object_.is_object())
    return;
  for (const auto &[Name, Value] : Object_.items())
    if (!Known_.contains(Name))
      fault(ErrorCode::UnknownField, Name, "is not known");
}

Result<nlohmann::json> parseJson(std::string_view Text, bool Comments) {
  try {
    return nlohmann::json::parse(Text, nullptr, true, Comments);
  } catch (const nlohmann::json::parse_error &Fault) {
    return failure(ErrorCode::MalformedInput, Fault.what());
  }
}

Error joinFaults(const std::vector<Error> &Faults) {
  Error Out{Faults.front().Code, {}};
  for (const Error &Fault : Faults)
    Out.Detail += (Out.Detail.empty() ? "" : "; ") + Fault.Detail;
  return Out;
}

} // namespace cuminroad
