#include "cuminroad/fleet/OwnerRow.h"

#include <nlohmann/json.hpp>

namespace cuminroad {

std::string encodeOwner(const OwnerRow &Row) {
  const nlohmann::json Out{Row.Holder, Row.Incarnation, Row.Peer,
                           Row.Epoch,  Row.Serial,      Row.Lapse.count()};
  std::string Bytes;
  nlohmann::json::to_msgpack(Out, Bytes);
  return Bytes;
}

Result<OwnerRow> decodeOwner(std::string_view Bytes) {
  try {
    const nlohmann::json Input = nlohmann::json::from_msgpack(Bytes);
    OwnerRow Out;
    Out.Holder = Input.at(0).get<std::string>();
    Out.Incarnation = Input.at(1).get<std::string>();
    Out.Peer = Input.at(2).get<std::string>();
    Out.Epoch = Input.at(3).get<std::int64_t>();
    Out.Serial = Input.at(4).get<std::int64_t>();
    Out.Lapse = milliseconds(Input.at(5).get<std::int64_t>());
    return Out;
  } catch (const nlohmann::json::exception &Fault) {
    return failure(ErrorCode::MalformedInput, Fault.what());
  }
}

} // namespace cuminroad
