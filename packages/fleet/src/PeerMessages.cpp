#include "PeerMessages.h"

#include <nlohmann/json.hpp>

namespace cuminroad {

static std::string pack(const nlohmann::json &Value) {
  std::string Bytes;
  nlohmann::json::to_msgpack(Value, Bytes);
  return Bytes;
}

std::string encode(const AdviseRequest &Message) {
  return pack({{"job", Message.Step.Job},
               {"occurrence", Message.Step.Occurrence},
               {"step", Message.Step.Step},
               {"vms", Message.Vms},
               {"timeout_ms", Message.Timeout.count()}});
}

Result<AdviseRequest> decodeAdviseRequest(std::string_view Bytes) {
  try {
    const nlohmann::json Input = nlohmann::json::from_msgpack(Bytes);
    AdviseRequest Out;
    Out.Step.Job = Input.at("job").get<std::string>();
    Out.Step.Occurrence = Input.at("occurrence").get<int>();
    Out.Step.Step = Input.at("step").get<int>();
    Out.Vms = Input.at("vms").get<std::vector<std::string>>();
    Out.Timeout = milliseconds(Input.at("timeout_ms").get<std::int64_t>());
    return Out;
  } catch (const nlohmann::json::exception &Fault) {
    return failure(ErrorCode::MalformedInput, Fault.what());
  }
}

std::string encode(std::span<const AdviceTicket> Tickets) {
  nlohmann::json Out = nlohmann::json::array();
  for (const AdviceTicket &Entry : Tickets)
    Out.push_back(nlohmann::json::array({Entry.Vm, Entry.Ticket}));
  return pack(Out);
}

Result<std::vector<AdviceTicket>> decodeTickets(std::string_view Bytes) {
  try {
    std::vector<AdviceTicket> Out;
    for (const nlohmann::json &Entry : nlohmann::json::from_msgpack(Bytes))
      Out.push_back(AdviceTicket{Entry.at(0).get<std::string>(),
                                 Entry.at(1).get<std::string>()});
    return Out;
  } catch (const nlohmann::json::exception &Fault) {
    return failure(ErrorCode::MalformedInput, Fault.what());
  }
}

} // namespace cuminroad
