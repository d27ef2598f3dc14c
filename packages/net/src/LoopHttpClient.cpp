// Drives libcurl from the loop's io_context. Calls need no switch to another
// thread, which would be most of the cost of a small call.
#include "cuminroad/net/LoopHttp.h"

#include <algorithm>
#include <vector>

#include "AsioLoop.h"
#include "LoopCurlMulti.h"

namespace cuminroad {

namespace {

/// Covers the connections of an owner to the VMs of a large pool.
constexpr std::size_t MaxIdleConnections = 3000;
/// libcurl goes through all connections of a multi handle at the end of each
/// call.
constexpr std::size_t MaxDestinationsPerMulti = 32;
/// A destination that was not called for this long, at most twice, is
/// forgotten. Its connections are too old for another call.
constexpr milliseconds ForgetInterval{30000};

/// \returns the part of \p Url before the path.
std::string_view destinationOf(std::string_view Url) {
  const std::size_t Scheme = Url.find("://");
  const std::size_t Host = Scheme == std::string_view::npos ? 0 : Scheme + 3;
  return Url.substr(0, Url.find_first_of("/?#", Host));
}

struct StringHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view Text) const {
    return std::hash<std::string_view>()(Text);
  }
};

/// Spreads its destinations over as many multi handles as they need.
class LoopHttpClient final : public HttpClient {
public:
  explicit LoopHttpClient(asio::io_context &Context)
      : Context_(Context), ForgetTimer_(Context) {}

  ~LoopHttpClient() override {
    for (const std::shared_ptr<Group> &Each : Groups_)
      Each->Multi->close();
  }

  void send(HttpCall Call, HttpCallback Done) override {
    Group &Target = groupOf(destinationOf(Call.Url));
    ++Traffic_.Calls;
    Target.Multi->limitConnections(std::max<std::size_t>(
        1, MaxIdleConnections * Target.Destinations / Destinations_.size()));
    Target.Multi->send(
        std::make_unique<CurlTransfer>(std::move(Call), std::move(Done)));
  }

  HttpTraffic traffic() const override { return Traffic_; }

private:
  struct Group {
    std::shared_ptr<LoopCurlMulti> Multi;
    std::size_t Destinations = 0;
  };

  struct Destination {
    std::shared_ptr<Group> AssignedGroup;
    bool CalledSinceLastCheck = true;
  };

  Group &groupOf(std::string_view Name) {
    const auto Found = Destinations_.find(Name);
    if (Found != Destinations_.end()) {
      Found->second.CalledSinceLastCheck = true;
      return *Found->second.AssignedGroup;
    }
    auto Free = std::find_if(
        Groups_.begin(), Groups_.end(), [](const std::shared_ptr<Group> &Each) {
          return Each->Destinations < MaxDestinationsPerMulti;
        });
    if (Free == Groups_.end())
      Free = Groups_.insert(
          Groups_.end(),
          std::make_shared<Group>(Group{std::make_shared<LoopCurlMulti>(
              Context_, HandlePool_, Traffic_)}));
    ++(*Free)->Destinations;
    Destinations_.emplace(Name, Destination{*Free});
    if (Destinations_.size() == 1)
      startForgetTimer();
    return **Free;
  }

  void startForgetTimer() {
    ForgetTimer_.expires_after(ForgetInterval);
    ForgetTimer_.async_wait([this](const asio::error_code &WaitError) {
      if (WaitError)
        return;
      forgetUncalled();
      if (!Destinations_.empty() || !Groups_.empty())
        startForgetTimer();
    });
  }

  void forgetUncalled() {
    for (auto Each = Destinations_.begin(); Each != Destinations_.end();) {
      if (std::exchange(Each->second.CalledSinceLastCheck, false)) {
        ++Each;
      } else {
        --Each->second.AssignedGroup->Destinations;
        Each = Destinations_.erase(Each);
      }
    }
    std::erase_if(Groups_, [](const std::shared_ptr<Group> &Each) {
      if (Each->Destinations > 0 || Each->Multi->callsInFlight() > 0)
        return false;
      Each->Multi->close();
      return true;
    });
  }

  asio::io_context &Context_;
  asio::steady_timer ForgetTimer_;
  CurlHandlePool HandlePool_;
  HttpTraffic Traffic_;
  std::vector<std::shared_ptr<Group>> Groups_;
  std::unordered_map<std::string, Destination, StringHash, std::equal_to<>>
      Destinations_;
};

} // namespace

std::unique_ptr<HttpClient> makeLoopHttpClient(RunnableLoop &ControlLoop) {
  return std::make_unique<LoopHttpClient>(
      static_cast<AsioLoop &>(ControlLoop).context());
}

} // namespace cuminroad
