#include "PeerMessages.h"

#include "cuminroad/base/MessagePack.h"

namespace cuminroad {

std::string encode(const AdviseRequest &Message) {
  return packMessage({{"job", Message.Step.Job},
                      {"occurrence", Message.Step.Occurrence},
                      {"step", Message.Step.Step},
                      {"vms", Message.Vms},
                      {"timeout_ms", Message.Timeout.count()}});
}

Result<AdviseRequest> decodeAdviseRequest(std::string_view Bytes) {
  return unpackMessage<AdviseRequest>(Bytes, [](const nlohmann::json &Input) {
    AdviseRequest Out;
    Out.Step.Job = Input.at("job").get<std::string>();
    Out.Step.Occurrence = Input.at("occurrence").get<int>();
    Out.Step.Step = Input.at("step").get<int>();
    Out.Vms = Input.at("vms").get<std::vector<std::string>>();
    Out.Timeout = milliseconds(Input.at("timeout_ms").get<std::int64_t>());
    return Out;
  });
}

std::string encode(const std::optional<OwnedJob> &Job) {
  nlohmann::json Out = nlohmann::json::array();
  if (Job)
    Out = {static_cast<int>(Job->Status.Stage),
           static_cast<int>(Job->Status.Failure), Job->Account};
  return packMessage(Out);
}

Result<std::optional<OwnedJob>> decodeOwnedJob(std::string_view Bytes) {
  return unpackMessage<std::optional<OwnedJob>>(
      Bytes,
      [](const nlohmann::json &Input) -> Result<std::optional<OwnedJob>> {
        if (Input.empty())
          return std::optional<OwnedJob>();
        const int Stage = Input.at(0).get<int>();
        const int Failure = Input.at(1).get<int>();
        if (Stage < 0 || Stage > static_cast<int>(JobStage::Cancelled) ||
            Failure < 0 ||
            Failure > static_cast<int>(JobFailure::RecordTooLarge))
          return failure(ErrorCode::ValueOutOfRange, "status");
        return std::optional(
            OwnedJob{JobStatus{static_cast<JobStage>(Stage),
                               static_cast<JobFailure>(Failure)},
                     Input.at(2).get<std::string>()});
      });
}

std::string encode(std::span<const AdviceTicket> Tickets) {
  nlohmann::json Out = nlohmann::json::array();
  for (const AdviceTicket &Entry : Tickets)
    Out.push_back(nlohmann::json::array({Entry.Vm, Entry.Ticket}));
  return packMessage(Out);
}

Result<std::vector<AdviceTicket>> decodeTickets(std::string_view Bytes) {
  return unpackMessage<std::vector<AdviceTicket>>(
      Bytes, [](const nlohmann::json &Input) {
        std::vector<AdviceTicket> Out;
        for (const nlohmann::json &Entry : Input)
          Out.push_back(AdviceTicket{Entry.at(0).get<std::string>(),
                                     Entry.at(1).get<std::string>()});
        return Out;
      });
}

} // namespace cuminroad
