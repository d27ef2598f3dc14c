#include "cuminroad/store/VmList.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cuminroad/base/JsonObjectReader.h"

namespace cuminroad {

namespace {

constexpr milliseconds ListTimeout{3000};
constexpr int StatusNotModified = 304;

ListedState decodeState(const nlohmann::json &Input) {
  const std::string Name = Input.at("state").get<std::string>();
  if (Name == "gone")
    return ListedState::Gone;
  return Name == "leaving" ? ListedState::Leaving : ListedState::Live;
}

ListedVm decodeVm(const nlohmann::json &Input) {
  ListedVm Vm;
  Input.at("id").get_to(Vm.Spec.Id);
  Input.at("domain").get_to(Vm.Spec.Domain);
  Input.at("rack").get_to(Vm.Spec.Rack);
  Input.at("service").get_to(Vm.Spec.Service);
  Input.at("url").get_to(Vm.Spec.Url);
  Input.at("milli_cores").get_to(Vm.Spec.Total.MilliCores);
  Input.at("memory_mb").get_to(Vm.Spec.Total.MemoryMb);
  Input.at("accelerators").get_to(Vm.Spec.Total.Accelerators);
  Input.at("slots").get_to(Vm.Spec.Slots);
  Input.at("connections").get_to(Vm.Spec.Connections);
  Vm.State = decodeState(Input);
  return Vm;
}

Result<VmListing> decodeListing(const HttpResult &Response) {
  if (!Response || Response->Status != 200)
    return failure(ErrorCode::PlatformUnavailable, "VM list");
  const auto Body = parseJson(Response->Body, false);
  if (!Body)
    return tl::unexpected(Body.error());
  try {
    VmListing Listing;
    for (const nlohmann::json &Vm : Body->at("vms"))
      Listing.Vms.push_back(decodeVm(Vm));
    Listing.GoneDaemons =
        Body->at("gone_entries").get<std::vector<std::string>>();
    return Listing;
  } catch (const nlohmann::json::exception &Exception) {
    return failure(ErrorCode::MalformedInput, Exception.what());
  }
}

class HttpVmList final : public VmList {
public:
  HttpVmList(std::string BaseUrl, HttpClient &Client, Loop &ControlLoop)
      : BaseUrl_(std::move(BaseUrl)), Client_(Client),
        ControlLoop_(ControlLoop) {}

  void read(std::string Domain, ReadDone Done) override {
    HttpCall Call;
    Call.Url = fmt::format("{}/vms?domain={}", BaseUrl_, Domain);
    Call.Timeout = ListTimeout;
    if (!ETag_.empty())
      Call.Headers.emplace_back("If-None-Match", ETag_);
    Client_.send(std::move(Call),
                 [this, Done = std::move(Done)](const HttpResult &Response) {
                   ControlLoop_.post([this, Done, Response] {
                     handleResponse(Response, Done);
                   });
                 });
  }

private:
  void handleResponse(const HttpResult &Response, const ReadDone &Done) {
    if (Response && Response->Status == StatusNotModified)
      return Done(LastListing_);
    const Result<VmListing> Listing = decodeListing(Response);
    if (Listing) {
      ETag_ = findHeader(Response->Headers, "ETag");
      LastListing_ = *Listing;
    }
    Done(Listing);
  }

  std::string BaseUrl_;
  HttpClient &Client_;
  Loop &ControlLoop_;
  std::string ETag_;
  VmListing LastListing_;
};

} // namespace

std::unique_ptr<VmList> makeHttpVmList(std::string BaseUrl, HttpClient &Client,
                                       Loop &ControlLoop) {
  return std::make_unique<HttpVmList>(std::move(BaseUrl), Client, ControlLoop);
}

} // namespace cuminroad
