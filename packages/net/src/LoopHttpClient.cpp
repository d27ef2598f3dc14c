// Drives libcurl's multi interface from the loop's io_context. Calls need no
// switch to another thread, which would be most of the cost of a small call.
#include "cuminroad/net/LoopHttp.h"

#include <unordered_map>

#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>

#include "AsioLoop.h"
#include "CurlTransfer.h"

namespace cuminroad {

namespace {

/// Covers the connections of an owner to the VMs of a large pool.
constexpr long MaxIdleConnections = 3000;

/// A socket on which libcurl waits for events.
struct SocketWatch {
  explicit SocketWatch(asio::io_context &Context) : Descriptor(Context) {}
  asio::posix::stream_descriptor Descriptor;
  /// The events that libcurl waits for: CURL_POLL_IN, CURL_POLL_OUT or both.
  int RequestedEvents = 0;
  /// Whether an asynchronous wait is pending.
  bool AwaitsRead = false;
  bool AwaitsWrite = false;
};

class LoopHttpClient final : public HttpClient {
public:
  explicit LoopHttpClient(asio::io_context &Context)
      : Context_(Context), Timer_(Context), Multi_(curl_multi_init()) {
    curl_multi_setopt(Multi_, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
    curl_multi_setopt(Multi_, CURLMOPT_SOCKETFUNCTION, socketCallback);
    curl_multi_setopt(Multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(Multi_, CURLMOPT_TIMERFUNCTION, timerCallback);
    curl_multi_setopt(Multi_, CURLMOPT_TIMERDATA, this);
  }

  ~LoopHttpClient() override {
    for (auto &[Handle, Transfer] : Transfers_) {
      curl_multi_remove_handle(Multi_, Handle);
      curl_easy_cleanup(Handle);
    }
    for (auto &[Socket, Watch] : Watches_)
      Watch->Descriptor.release();
    curl_multi_cleanup(Multi_);
  }

  void send(HttpCall Call, HttpCallback Done) override {
    auto Transfer =
        std::make_unique<CurlTransfer>(std::move(Call), std::move(Done));
    CURL *Handle = HandlePool_.acquire();
    Transfer->configure(Handle);
    ++Traffic_.Calls;
    Transfers_.emplace(Handle, std::move(Transfer));
    curl_multi_add_handle(Multi_, Handle);
  }

  HttpTraffic traffic() const override { return Traffic_; }

private:
  static int socketCallback(CURL *, curl_socket_t Socket, int Events,
                            void *Client, void *) {
    static_cast<LoopHttpClient *>(Client)->updateWatch(Socket, Events);
    return 0;
  }

  static int timerCallback(CURLM *, long DelayMs, void *Client) {
    static_cast<LoopHttpClient *>(Client)->setTimer(DelayMs);
    return 0;
  }

  void updateWatch(curl_socket_t Socket, int Events) {
    const auto Found = Watches_.find(Socket);
    if (Events == CURL_POLL_REMOVE) {
      if (Found == Watches_.end())
        return;
      // libcurl closes the socket itself, so the descriptor must not.
      Found->second->Descriptor.release();
      Watches_.erase(Found);
      return;
    }
    std::shared_ptr<SocketWatch> Watch;
    if (Found == Watches_.end()) {
      Watch = std::make_shared<SocketWatch>(Context_);
      Watch->Descriptor.assign(Socket);
      Watches_.emplace(Socket, Watch);
    } else {
      Watch = Found->second;
    }
    Watch->RequestedEvents = Events;
    startWaits(Socket, Watch);
  }

  void startWaits(curl_socket_t Socket,
                  const std::shared_ptr<SocketWatch> &Watch) {
    if ((Watch->RequestedEvents & CURL_POLL_IN) != 0 && !Watch->AwaitsRead) {
      Watch->AwaitsRead = true;
      Watch->Descriptor.async_wait(
          asio::posix::descriptor_base::wait_read,
          [this, Socket, Watch](const asio::error_code &WaitError) {
            Watch->AwaitsRead = false;
            onSocketReady(Socket, Watch, CURL_CSELECT_IN, WaitError);
          });
    }
    if ((Watch->RequestedEvents & CURL_POLL_OUT) != 0 && !Watch->AwaitsWrite) {
      Watch->AwaitsWrite = true;
      Watch->Descriptor.async_wait(
          asio::posix::descriptor_base::wait_write,
          [this, Socket, Watch](const asio::error_code &WaitError) {
            Watch->AwaitsWrite = false;
            onSocketReady(Socket, Watch, CURL_CSELECT_OUT, WaitError);
          });
    }
  }

  bool isCurrent(curl_socket_t Socket,
                 const std::shared_ptr<SocketWatch> &Watch) {
    const auto Found = Watches_.find(Socket);
    return Found != Watches_.end() && Found->second == Watch;
  }

  void onSocketReady(curl_socket_t Socket,
                     const std::shared_ptr<SocketWatch> &Watch, int Events,
                     const asio::error_code &WaitError) {
    if (WaitError == asio::error::operation_aborted ||
        !isCurrent(Socket, Watch))
      return;
    int Running = 0;
    curl_multi_socket_action(Multi_, Socket,
                             WaitError ? CURL_CSELECT_ERR : Events, &Running);
    finishCompleted();
    if (isCurrent(Socket, Watch))
      startWaits(Socket, Watch);
  }

  void setTimer(long DelayMs) {
    Timer_.cancel();
    if (DelayMs < 0)
      return;
    Timer_.expires_after(milliseconds(DelayMs));
    Timer_.async_wait([this](const asio::error_code &WaitError) {
      if (WaitError)
        return;
      int Running = 0;
      curl_multi_socket_action(Multi_, CURL_SOCKET_TIMEOUT, 0, &Running);
      finishCompleted();
    });
  }

  void finishCompleted() {
    int Remaining = 0;
    while (CURLMsg *Message = curl_multi_info_read(Multi_, &Remaining)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      const CURLcode Code = Message->data.result;
      finish(Message->easy_handle, Code);
    }
  }

  void finish(CURL *Handle, CURLcode Code) {
    const auto Found = Transfers_.find(Handle);
    std::unique_ptr<CurlTransfer> Transfer = std::move(Found->second);
    Transfers_.erase(Found);
    HttpResult Result = Transfer->takeResult(Handle, Code, Traffic_);
    curl_multi_remove_handle(Multi_, Handle);
    HandlePool_.release(Handle);
    Transfer->complete(std::move(Result));
  }

  asio::io_context &Context_;
  asio::steady_timer Timer_;
  CURLM *Multi_;
  CurlHandlePool HandlePool_;
  std::unordered_map<CURL *, std::unique_ptr<CurlTransfer>> Transfers_;
  std::unordered_map<curl_socket_t, std::shared_ptr<SocketWatch>> Watches_;
  HttpTraffic Traffic_;
};

} // namespace

std::unique_ptr<HttpClient> makeLoopHttpClient(RunnableLoop &ControlLoop) {
  return std::make_unique<LoopHttpClient>(
      static_cast<AsioLoop &>(ControlLoop).context());
}

} // namespace cuminroad
