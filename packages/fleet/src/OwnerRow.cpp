#include "cuminroad/fleet/OwnerRow.h"

#include "cuminroad/base/MessagePack.h"

namespace cuminroad {

std::string encodeOwner(const OwnerRow &Row) {
  return packMessage(nlohmann::json::array(
      {Row.Holder, Row.Incarnation, Row.PeerAddress, Row.Epoch, Row.Serial,
       Row.LeaseDuration.count()}));
}

Result<OwnerRow> decodeOwner(std::string_view Bytes) {
  return unpackMessage<OwnerRow>(Bytes, [](const nlohmann::json &Input) {
    OwnerRow Out;
    Out.Holder = Input.at(0).get<std::string>();
    Out.Incarnation = Input.at(1).get<std::string>();
    Out.PeerAddress = Input.at(2).get<std::string>();
    Out.Epoch = Input.at(3).get<std::int64_t>();
    Out.Serial = Input.at(4).get<std::int64_t>();
    Out.LeaseDuration = milliseconds(Input.at(5).get<std::int64_t>());
    return Out;
  });
}

} // namespace cuminroad
