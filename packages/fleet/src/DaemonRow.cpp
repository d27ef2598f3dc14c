#include "cuminroad/fleet/DaemonRow.h"

#include "cuminroad/base/MessagePack.h"

namespace cuminroad {

std::string encodeDaemon(const DaemonRow &Row) {
  return packMessage(
      nlohmann::json::array({Row.PeerAddress, Row.Incarnation, Row.CpuShare}));
}

Result<DaemonRow> decodeDaemon(std::string_view Bytes) {
  return unpackMessage<DaemonRow>(Bytes, [](const nlohmann::json &Input) {
    // Rows of earlier versions lack the last field.
    return DaemonRow{Input.at(0).get<std::string>(),
                     Input.at(1).get<std::string>(),
                     Input.size() > 2 ? Input.at(2).get<double>() : 0.0};
  });
}

} // namespace cuminroad
