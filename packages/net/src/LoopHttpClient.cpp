// libcurl's multi interface driven by the loop's io_context: no thread hop for
// each call, which is most of the cost of a small one.
#include "cuminroad/net/LoopHttp.h"

#include <unordered_map>

#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>

#include "AsioLoop.h"
#include "CurlTransfer.h"

namespace cuminroad {

namespace {

constexpr long IdleConnectionsKept = 1024;

/// A socket that libcurl wants to be told about.
struct Watch {
  explicit Watch(asio::io_context &Context) : Descriptor(Context) {}
  asio::posix::stream_descriptor Descriptor;
  /// CURL_POLL_IN, CURL_POLL_OUT or both.
  int Wanted = 0;
  bool Reading = false;
  bool Writing = false;
};

class LoopHttpClient final : public HttpClient {
public:
  explicit LoopHttpClient(asio::io_context &Context)
      : Context_(Context), Timer_(Context), Multi_(curl_multi_init()) {
    curl_multi_setopt(Multi_, CURLMOPT_MAXCONNECTS, IdleConnectionsKept);
    curl_multi_setopt(Multi_, CURLMOPT_SOCKETFUNCTION, socketHook);
    curl_multi_setopt(Multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(Multi_, CURLMOPT_TIMERFUNCTION, timerHook);
    curl_multi_setopt(Multi_, CURLMOPT_TIMERDATA, this);
  }

  ~LoopHttpClient() override {
    for (auto &[Handle, Open] : Open_) {
      curl_multi_remove_handle(Multi_, Handle);
      curl_easy_cleanup(Handle);
    }
    for (auto &[Socket, Entry] : Watches_)
      Entry->Descriptor.release();
    curl_multi_cleanup(Multi_);
  }

  void send(HttpCall Call, HttpCallback Done) override {
    auto New = std::make_unique<CurlTransfer>(std::move(Call), std::move(Done));
    CURL *Handle = Handles_.take();
    New->prepare(Handle);
    ++Use_.Calls;
    Open_.emplace(Handle, std::move(New));
    curl_multi_add_handle(Multi_, Handle);
  }

  HttpTraffic traffic() const override { return Use_; }

private:
  static int socketHook(CURL *, curl_socket_t Socket, int What, void *Self,
                        void *) {
    static_cast<LoopHttpClient *>(Self)->watch(Socket, What);
    return 0;
  }

  static int timerHook(CURLM *, long DelayMs, void *Self) {
    static_cast<LoopHttpClient *>(Self)->setTimer(DelayMs);
    return 0;
  }

  void watch(curl_socket_t Socket, int What) {
    const auto Found = Watches_.find(Socket);
    if (What == CURL_POLL_REMOVE) {
      if (Found == Watches_.end())
        return;
      // libcurl closes the socket itself.
      Found->second->Descriptor.release();
      Watches_.erase(Found);
      return;
    }
    std::shared_ptr<Watch> Entry;
    if (Found == Watches_.end()) {
      Entry = std::make_shared<Watch>(Context_);
      Entry->Descriptor.assign(Socket);
      Watches_.emplace(Socket, Entry);
    } else {
      Entry = Found->second;
    }
    Entry->Wanted = What;
    arm(Socket, Entry);
  }

  void arm(curl_socket_t Socket, const std::shared_ptr<Watch> &Entry) {
    if ((Entry->Wanted & CURL_POLL_IN) != 0 && !Entry->Reading) {
      Entry->Reading = true;
      Entry->Descriptor.async_wait(
          asio::posix::descriptor_base::wait_read,
          [this, Socket, Entry](const asio::error_code &Fault) {
            Entry->Reading = false;
            ready(Socket, Entry, CURL_CSELECT_IN, Fault);
          });
    }
    if ((Entry->Wanted & CURL_POLL_OUT) != 0 && !Entry->Writing) {
      Entry->Writing = true;
      Entry->Descriptor.async_wait(
          asio::posix::descriptor_base::wait_write,
          [this, Socket, Entry](const asio::error_code &Fault) {
            Entry->Writing = false;
            ready(Socket, Entry, CURL_CSELECT_OUT, Fault);
          });
    }
  }

  bool watched(curl_socket_t Socket, const std::shared_ptr<Watch> &Entry) {
    const auto Found = Watches_.find(Socket);
    return Found != Watches_.end() && Found->second == Entry;
  }

  void ready(curl_socket_t Socket, const std::shared_ptr<Watch> &Entry,
             int What, const asio::error_code &Fault) {
    if (Fault == asio::error::operation_aborted || !watched(Socket, Entry))
      return;
    int Running = 0;
    curl_multi_socket_action(Multi_, Socket, Fault ? CURL_CSELECT_ERR : What,
                             &Running);
    finishEnded();
    if (watched(Socket, Entry))
      arm(Socket, Entry);
  }

  void setTimer(long DelayMs) {
    Timer_.cancel();
    if (DelayMs < 0)
      return;
    Timer_.expires_after(milliseconds(DelayMs));
    Timer_.async_wait([this](const asio::error_code &Fault) {
      if (Fault)
        return;
      int Running = 0;
      curl_multi_socket_action(Multi_, CURL_SOCKET_TIMEOUT, 0, &Running);
      finishEnded();
    });
  }

  void finishEnded() {
    int Left = 0;
    while (CURLMsg *Message = curl_multi_info_read(Multi_, &Left)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      const CURLcode Code = Message->data.result;
      finish(Message->easy_handle, Code);
    }
  }

  void finish(CURL *Handle, CURLcode Code) {
    const auto Found = Open_.find(Handle);
    std::unique_ptr<CurlTransfer> Ended = std::move(Found->second);
    Open_.erase(Found);
    HttpResult Outcome = Ended->finish(Handle, Code, Use_);
    curl_multi_remove_handle(Multi_, Handle);
    Handles_.put(Handle);
    Ended->done(std::move(Outcome));
  }

  asio::io_context &Context_;
  asio::steady_timer Timer_;
  CURLM *Multi_;
  CurlHandlePool Handles_;
  std::unordered_map<CURL *, std::unique_ptr<CurlTransfer>> Open_;
  std::unordered_map<curl_socket_t, std::shared_ptr<Watch>> Watches_;
  HttpTraffic Use_;
};

} // namespace

std::unique_ptr<HttpClient> makeLoopHttpClient(RunnableLoop &Home) {
  return std::make_unique<LoopHttpClient>(
      static_cast<AsioLoop &>(Home).context());
}

} // namespace cuminroad
