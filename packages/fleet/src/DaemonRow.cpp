#include "cuminroad/fleet/DaemonRow.h"

#include <nlohmann/json.hpp>

namespace cuminroad {

std::string encodeDaemon(const DaemonRow &Row) {
  const auto Out = nlohmann::json::array({Row.Peer, Row.Incarnation});
  std::string Bytes;
  nlohmann::json::to_msgpack(Out, Bytes);
  return Bytes;
}

Result<DaemonRow> decodeDaemon(std::string_view Bytes) {
  try {
    const nlohmann::json Input = nlohmann::json::from_msgpack(Bytes);
    return DaemonRow{Input.at(0).get<std::string>(),
                     Input.at(1).get<std::string>()};
  } catch (const nlohmann::json::exception &Fault) {
    return failure(ErrorCode::MalformedInput, Fault.what());
  }
}

} // namespace cuminroad
