#include "cuminroad/net/HttpClient.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include "CurlTransfer.h"

namespace cuminroad {

namespace {

constexpr int PollMs = 1000;
constexpr long IdleConnectionsKept = 1024;

class CurlHttpClient final : public HttpClient {
public:
  CurlHttpClient() : Multi_(curl_multi_init()) {
    curl_multi_setopt(Multi_, CURLMOPT_MAXCONNECTS, IdleConnectionsKept);
    Thread_ = std::thread([this] { run(); });
  }

  ~CurlHttpClient() override {
    Stopping_ = true;
    curl_multi_wakeup(Multi_);
    Thread_.join();
    for (auto &[Handle, Open] : Open_) {
      curl_multi_remove_handle(Multi_, Handle);
      curl_easy_cleanup(Handle);
    }
    curl_multi_cleanup(Multi_);
  }

  void send(HttpCall Call, HttpCallback Done) override {
    auto New = std::make_unique<CurlTransfer>(std::move(Call), std::move(Done));
    {
      const std::lock_guard Lock(Mutex_);
      Queue_.push_back(std::move(New));
    }
    curl_multi_wakeup(Multi_);
  }

  HttpTraffic traffic() const override {
    return HttpTraffic{BytesSent_, BytesReceived_, Calls_};
  }

private:
  void run() {
    while (!Stopping_) {
      startQueued();
      int Running = 0;
      curl_multi_perform(Multi_, &Running);
      finishEnded();
      curl_multi_poll(Multi_, nullptr, 0, PollMs, nullptr);
    }
  }

  void startQueued() {
    std::vector<std::unique_ptr<CurlTransfer>> New;
    {
      const std::lock_guard Lock(Mutex_);
      New.swap(Queue_);
    }
    for (std::unique_ptr<CurlTransfer> &Entry : New)
      start(std::move(Entry));
  }

  void start(std::unique_ptr<CurlTransfer> New) {
    CURL *Handle = Handles_.take();
    New->prepare(Handle);
    ++Calls_;
    curl_multi_add_handle(Multi_, Handle);
    Open_.emplace(Handle, std::move(New));
  }

  void finishEnded() {
    int Left = 0;
    while (CURLMsg *Message = curl_multi_info_read(Multi_, &Left)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      const CURLcode Code = Message->data.result;
      CURL *Handle = Message->easy_handle;
      finish(Handle, Code);
    }
  }

  void finish(CURL *Handle, CURLcode Code) {
    const auto Found = Open_.find(Handle);
    std::unique_ptr<CurlTransfer> Ended = std::move(Found->second);
    Open_.erase(Found);
    HttpTraffic Use;
    HttpResult Outcome = Ended->finish(Handle, Code, Use);
    curl_multi_remove_handle(Multi_, Handle);
    Handles_.put(Handle);
    BytesSent_ += Use.BytesSent;
    BytesReceived_ += Use.BytesReceived;
    Ended->done(std::move(Outcome));
  }

  CURLM *Multi_;
  CurlHandlePool Handles_;
  std::unordered_map<CURL *, std::unique_ptr<CurlTransfer>> Open_;
  std::mutex Mutex_;
  std::vector<std::unique_ptr<CurlTransfer>> Queue_;
  std::atomic<bool> Stopping_{false};
  std::atomic<std::uint64_t> BytesSent_{0};
  std::atomic<std::uint64_t> BytesReceived_{0};
  std::atomic<std::uint64_t> Calls_{0};
  std::thread Thread_;
};

} // namespace

std::unique_ptr<HttpClient> makeHttpClient() {
  return std::make_unique<CurlHttpClient>();
}

} // namespace cuminroad
