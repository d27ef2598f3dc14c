#include "cuminroad/fleet/OwnerRow.h"

#include "cuminroad/base/MessagePack.h"

namespace cuminroad {

std::string encodeOwner(const OwnerRow &Row) {
  auto Out =
      nlohmann::json::array({Row.Holder, Row.Incarnation, Row.PeerAddress,
                             Row.Epoch, Row.Serial, Row.LeaseDuration.count()});
  if (!Row.MovedQueues.empty())
    Out.push_back(Row.MovedQueues);
  return packMessage(Out);
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
    if (Input.size() > 6)
      Out.MovedQueues = Input.at(6).get<std::vector<std::string>>();
    return Out;
  });
}

} // namespace cuminroad
