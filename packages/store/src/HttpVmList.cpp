#include "cuminroad/store/VmList.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cuminroad/base/JsonObjectReader.h"

namespace cuminroad {

namespace {

constexpr milliseconds ListTimeout{3000};
constexpr int StatusNotModified = 304;

ListedState readState(const nlohmann::json &Input) {
  const std::string Name = Input.at("state").get<std::string>();
  if (Name == "gone")
    return ListedState::Gone;
  return Name == "leaving" ? ListedState::Leaving : ListedState::Live;
}

ListedVm readVm(const nlohmann::json &Input) {
  ListedVm Out;
  Input.at("id").get_to(Out.Spec.Id);
  Input.at("domain").get_to(Out.Spec.Domain);
  Input.at("rack").get_to(Out.Spec.Rack);
  Input.at("service").get_to(Out.Spec.Service);
  Input.at("url").get_to(Out.Spec.Url);
  Input.at("milli_cores").get_to(Out.Spec.Total.MilliCores);
  Input.at("memory_mb").get_to(Out.Spec.Total.MemoryMb);
  Input.at("accelerators").get_to(Out.Spec.Total.Accelerators);
  Input.at("slots").get_to(Out.Spec.Slots);
  Input.at("connections").get_to(Out.Spec.Connections);
  Out.State = readState(Input);
  return Out;
}

Result<VmListing> decode(const HttpResult &Answer) {
  if (!Answer || Answer->Status != 200)
    return failure(ErrorCode::PlatformUnavailable, "VM list");
  const auto Body = parseJson(Answer->Body, false);
  if (!Body)
    return tl::unexpected(Body.error());
  try {
    VmListing Out;
    for (const nlohmann::json &Vm : Body->at("vms"))
      Out.Vms.push_back(readVm(Vm));
    Out.GoneEntries = Body->at("gone_entries").get<std::vector<std::string>>();
    return Out;
  } catch (const nlohmann::json::exception &Fault) {
    return failure(ErrorCode::MalformedInput, Fault.what());
  }
}

class HttpVmList final : public VmList {
public:
  HttpVmList(std::string BaseUrl, HttpClient &Client, Loop &Home)
      : BaseUrl_(std::move(BaseUrl)), Client_(Client), Home_(Home) {}

  void read(std::string Domain, Done Done) override {
    HttpCall Call;
    Call.Url = fmt::format("{}/vms?domain={}", BaseUrl_, Domain);
    Call.Timeout = ListTimeout;
    if (!Tag_.empty())
      Call.Headers.emplace_back("If-None-Match", Tag_);
    Client_.send(std::move(Call),
                 [this, Done = std::move(Done)](const HttpResult &Answer) {
                   Home_.post([this, Done, Answer] { answered(Answer, Done); });
                 });
  }

private:
  void answered(const HttpResult &Answer, const Done &Done) {
    if (Answer && Answer->Status == StatusNotModified)
      return Done(Last_);
    const Result<VmListing> Listing = decode(Answer);
    if (Listing) {
      Tag_ = findHeader(Answer->Headers, "ETag");
      Last_ = *Listing;
    }
    Done(Listing);
  }

  std::string BaseUrl_;
  HttpClient &Client_;
  Loop &Home_;
  std::string Tag_;
  VmListing Last_;
};

} // namespace

std::unique_ptr<VmList> makeHttpVmList(std::string BaseUrl, HttpClient &Client,
                                       Loop &Home) {
  return std::make_unique<HttpVmList>(std::move(BaseUrl), Client, Home);
}

} // namespace cuminroad
