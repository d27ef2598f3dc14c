#include "cuminroad/fleet/DaemonRow.h"

#include "cuminroad/base/MessagePack.h"

namespace cuminroad {

std::string encodeDaemon(const DaemonRow &Row) {
  return packMessage(nlohmann::json::array({Row.PeerAddress, Row.Incarnation}));
}

Result<DaemonRow> decodeDaemon(std::string_view Bytes) {
  return unpackMessage<DaemonRow>(Bytes, [](const nlohmann::json &Input) {
    return DaemonRow{Input.at(0).get<std::string>(),
                     Input.at(1).get<std::string>()};
  });
}

} // namespace cuminroad
