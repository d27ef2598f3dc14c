#include "cuminroad/base/MessagePack.h"

namespace cuminroad {

namespace {

using nlohmann::json;

/// Levels of arrays and objects in a message.
constexpr int MaxNesting = 64;
/// Bytes of a message that can't overflow the stack, since each level takes at
/// least one byte. Most messages are shorter, and are parsed only once.
constexpr std::size_t AlwaysSafeBytes = 4096;

/// Stops the parser at MaxNesting.
class NestingCheck final : public nlohmann::json_sax<json> {
public:
  bool tooDeep() const { return Depth_ > MaxNesting; }

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(json::number_integer_t) override { return true; }
  bool number_unsigned(json::number_unsigned_t) override { return true; }
  bool number_float(json::number_float_t, const json::string_t &) override {
    return true;
  }
  bool string(json::string_t &) override { return true; }
  bool binary(json::binary_t &) override { return true; }
  bool start_object(std::size_t) override { return enter(); }
  bool key(json::string_t &) override { return true; }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t, const std::string &,
                   const json::exception &) override {
    return false;
  }

private:
  bool enter() { return ++Depth_ <= MaxNesting; }
  bool leave() {
    --Depth_;
    return true;
  }

  int Depth_ = 0;
};

} // namespace

bool isNestedTooDeeply(std::string_view Bytes) {
  if (Bytes.size() <= AlwaysSafeBytes)
    return false;
  NestingCheck Check;
  json::sax_parse(Bytes, &Check, json::input_format_t::msgpack, false);
  return Check.tooDeep();
}

} // namespace cuminroad
