#include "cuminroad/net/HttpClient.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include "CurlTransfer.h"

namespace cuminroad {

namespace {

constexpr int PollTimeoutMs = 1000;
constexpr long MaxIdleConnections = 1024;

/// Runs libcurl's multi interface on a thread of its own.
class CurlHttpClient final : public HttpClient {
public:
  CurlHttpClient() : Multi_(curl_multi_init()) {
    curl_multi_setopt(Multi_, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
    Thread_ = std::thread([this] { run(); });
  }

  ~CurlHttpClient() override {
    Stopping_ = true;
    curl_multi_wakeup(Multi_);
    Thread_.join();
    for (auto &[Handle, Transfer] : Transfers_) {
      curl_multi_remove_handle(Multi_, Handle);
      curl_easy_cleanup(Handle);
    }
    curl_multi_cleanup(Multi_);
  }

  void send(HttpCall Call, HttpCallback Done) override {
    auto Transfer =
        std::make_unique<CurlTransfer>(std::move(Call), std::move(Done));
    {
      const std::lock_guard Lock(Mutex_);
      QueuedTransfers_.push_back(std::move(Transfer));
    }
    curl_multi_wakeup(Multi_);
  }

  HttpTraffic traffic() const override {
    return HttpTraffic{BytesSent_, BytesReceived_, Calls_, Resends_,
                       PreventedResends_};
  }

private:
  void run() {
    while (!Stopping_) {
      startQueued();
      int Running = 0;
      curl_multi_perform(Multi_, &Running);
      finishCompleted();
      curl_multi_poll(Multi_, nullptr, 0, PollTimeoutMs, nullptr);
    }
  }

  void startQueued() {
    std::vector<std::unique_ptr<CurlTransfer>> Queued;
    {
      const std::lock_guard Lock(Mutex_);
      Queued.swap(QueuedTransfers_);
    }
    for (std::unique_ptr<CurlTransfer> &Transfer : Queued)
      start(std::move(Transfer));
  }

  void start(std::unique_ptr<CurlTransfer> Transfer) {
    CURL *Handle = HandlePool_.acquire();
    Transfer->configure(Handle);
    Transfer->setTimeouts(Handle);
    ++Calls_;
    curl_multi_add_handle(Multi_, Handle);
    Transfers_.emplace(Handle, std::move(Transfer));
  }

  void finishCompleted() {
    int Remaining = 0;
    while (CURLMsg *Message = curl_multi_info_read(Multi_, &Remaining)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      const CURLcode Code = Message->data.result;
      CURL *Handle = Message->easy_handle;
      finish(Handle, Code);
    }
  }

  void finish(CURL *Handle, CURLcode Code) {
    const auto Found = Transfers_.find(Handle);
    std::unique_ptr<CurlTransfer> Transfer = std::move(Found->second);
    Transfers_.erase(Found);
    HttpTraffic Traffic;
    HttpResult Result = Transfer->takeResult(Handle, Code, Traffic);
    curl_multi_remove_handle(Multi_, Handle);
    HandlePool_.release(Handle);
    BytesSent_ += Traffic.BytesSent;
    BytesReceived_ += Traffic.BytesReceived;
    Resends_ += Traffic.Resends;
    PreventedResends_ += Traffic.PreventedResends;
    Transfer->complete(std::move(Result));
  }

  CURLM *Multi_;
  CurlHandlePool HandlePool_;
  std::unordered_map<CURL *, std::unique_ptr<CurlTransfer>> Transfers_;
  std::mutex Mutex_;
  std::vector<std::unique_ptr<CurlTransfer>> QueuedTransfers_;
  std::atomic<bool> Stopping_{false};
  std::atomic<std::uint64_t> BytesSent_{0};
  std::atomic<std::uint64_t> BytesReceived_{0};
  std::atomic<std::uint64_t> Calls_{0};
  std::atomic<std::uint64_t> Resends_{0};
  std::atomic<std::uint64_t> PreventedResends_{0};
  std::thread Thread_;
};

} // namespace

std::unique_ptr<HttpClient> makeHttpClient() {
  return std::make_unique<CurlHttpClient>();
}

} // namespace cuminroad
