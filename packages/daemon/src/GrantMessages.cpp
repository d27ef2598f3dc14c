#include "cuminroad/daemon/GrantMessages.h"

#include <nlohmann/json.hpp>

#include "cuminroad/base/MessagePack.h"

namespace cuminroad {

namespace {

// Field names are short because these messages make up most of the control
// traffic between daemons.

nlohmann::json toJson(const GrantRequest &Message) {
  return {{"k", "q"},
          {"f", Message.From},
          {"i", Message.Incarnation},
          {"s", Message.Seq},
          {"t", Message.VmTableVersion},
          {"v", Message.VmCaps},
          {"c", Message.CustomerCaps},
          {"b", Message.BaseSeq},
          {"dv", Message.ServiceDemand},
          {"dc", Message.CustomerDemand},
          {"l", Message.Leaving},
          {"r", Message.ReplyTo},
          {"h", Message.Stamp}};
}

nlohmann::json toJson(const GrantReply &Message) {
  nlohmann::json Out{{"k", "a"},
                     {"o", Message.Owner},
                     {"e", Message.Epoch},
                     {"s", Message.Seq},
                     {"n", Message.SendFullCaps},
                     {"v", Message.VmCaps},
                     {"c", Message.CustomerCaps},
                     {"t", Message.VmTableVersion},
                     {"h", Message.Stamp}};
  if (Message.Vms) {
    Out["m"] = nlohmann::json::array();
    for (const GrantVm &Vm : *Message.Vms)
      Out["m"].push_back({Vm.Id, Vm.Service, Vm.Url});
  }
  return Out;
}

nlohmann::json toJson(const GrantNotice &Message) {
  return {{"k", "n"},           {"o", Message.Owner},
          {"e", Message.Epoch}, {"a", Message.Address},
          {"w", Message.Http},  {"h", Message.Stamp}};
}

GrantRequest readRequest(const nlohmann::json &Input) {
  GrantRequest Out;
  Input.at("f").get_to(Out.From);
  Input.at("i").get_to(Out.Incarnation);
  Input.at("s").get_to(Out.Seq);
  Input.at("t").get_to(Out.VmTableVersion);
  Input.at("v").get_to(Out.VmCaps);
  Input.at("c").get_to(Out.CustomerCaps);
  Input.at("b").get_to(Out.BaseSeq);
  Input.at("dv").get_to(Out.ServiceDemand);
  Input.at("dc").get_to(Out.CustomerDemand);
  Input.at("l").get_to(Out.Leaving);
  Input.at("r").get_to(Out.ReplyTo);
  Input.at("h").get_to(Out.Stamp);
  return Out;
}

GrantReply readReply(const nlohmann::json &Input) {
  GrantReply Out;
  Input.at("o").get_to(Out.Owner);
  Input.at("e").get_to(Out.Epoch);
  Input.at("s").get_to(Out.Seq);
  Input.at("n").get_to(Out.SendFullCaps);
  Input.at("v").get_to(Out.VmCaps);
  Input.at("c").get_to(Out.CustomerCaps);
  Input.at("t").get_to(Out.VmTableVersion);
  Input.at("h").get_to(Out.Stamp);
  if (!Input.contains("m"))
    return Out;
  Out.Vms.emplace();
  for (const nlohmann::json &Vm : Input.at("m"))
    Out.Vms->push_back(GrantVm{Vm.at(0), Vm.at(1), Vm.at(2)});
  return Out;
}

GrantNotice readNotice(const nlohmann::json &Input) {
  GrantNotice Out;
  Input.at("o").get_to(Out.Owner);
  Input.at("e").get_to(Out.Epoch);
  Input.at("a").get_to(Out.Address);
  Input.at("w").get_to(Out.Http);
  Input.at("h").get_to(Out.Stamp);
  return Out;
}

} // namespace

int countOf(const CountByName &Values, const std::string &Name) {
  const auto Found = Values.find(Name);
  return Found == Values.end() ? 0 : Found->second;
}

CountByName difference(const CountByName &From, const CountByName &To) {
  CountByName Out;
  for (const auto &[Name, Count] : To) {
    const auto Old = From.find(Name);
    if (Old == From.end() || Old->second != Count)
      Out[Name] = Count;
  }
  for (const auto &[Name, Count] : From)
    if (!To.contains(Name))
      Out[Name] = 0;
  return Out;
}

CountByName overlay(CountByName Base, const CountByName &Changes) {
  for (const auto &[Name, Count] : Changes) {
    if (Count == 0)
      Base.erase(Name);
    else
      Base[Name] = Count;
  }
  return Base;
}

std::string encode(const PeerMessage &Message) {
  const nlohmann::json Body =
      std::visit([](const auto &Typed) { return toJson(Typed); }, Message);
  std::string Out;
  nlohmann::json::to_msgpack(Body, Out);
  return Out;
}

Result<PeerMessage> decodePeerMessage(std::string_view Bytes) {
  return unpackMessage<PeerMessage>(
      Bytes, [](const nlohmann::json &Body) -> Result<PeerMessage> {
        const std::string Kind = Body.at("k").get<std::string>();
        if (Kind == "q")
          return readRequest(Body);
        if (Kind == "a")
          return readReply(Body);
        if (Kind == "n")
          return readNotice(Body);
        return failure(ErrorCode::MalformedInput,
                       "unknown kind of peer message");
      });
}

} // namespace cuminroad
