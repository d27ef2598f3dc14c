#include "LoopCurlMulti.h"

#include <algorithm>

namespace cuminroad {

LoopCurlMulti::LoopCurlMulti(asio::io_context &Context,
                             CurlHandlePool &HandlePool, HttpTraffic &Traffic)
    : Context_(Context), HandlePool_(HandlePool), Traffic_(Traffic),
      Timer_(Context), DeadlineTimer_(Context), Multi_(curl_multi_init()) {
  curl_multi_setopt(Multi_, CURLMOPT_SOCKETFUNCTION, socketCallback);
  curl_multi_setopt(Multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(Multi_, CURLMOPT_TIMERFUNCTION, timerCallback);
  curl_multi_setopt(Multi_, CURLMOPT_TIMERDATA, this);
}

void LoopCurlMulti::close() {
  if (Multi_ == nullptr)
    return;
  for (auto &[Handle, Entry] : Calls_) {
    curl_multi_remove_handle(Multi_, Handle);
    curl_easy_cleanup(Handle);
  }
  Calls_.clear();
  Deadlines_.clear();
  for (auto &[Socket, Watch] : Watches_)
    Watch->Descriptor.release();
  Watches_.clear();
  curl_multi_cleanup(Multi_);
  Multi_ = nullptr;
  Timer_.cancel();
  DeadlineTimer_.cancel();
}

void LoopCurlMulti::send(std::unique_ptr<CurlTransfer> Transfer) {
  CURL *Handle = HandlePool_.acquire();
  Transfer->configure(Handle);
  const milliseconds FirstTimeout =
      std::min(Transfer->connectTimeout(), Transfer->timeout());
  Call &Entry = Calls_[Handle];
  Entry.Transfer = std::move(Transfer);
  Entry.StartedAt = DeadlineClock::now();
  addDeadline(Handle, Entry, FirstTimeout);
  curl_multi_add_handle(Multi_, Handle);
}

void LoopCurlMulti::addDeadline(CURL *Handle, Call &Entry,
                                milliseconds SinceStart) {
  Entry.Deadline = Entry.StartedAt + SinceStart;
  Deadlines_.emplace(Entry.Deadline, Handle);
  armDeadlineTimer();
}

void LoopCurlMulti::armDeadlineTimer() {
  if (Deadlines_.empty() || Deadlines_.begin()->first >= NextCheck_)
    return;
  NextCheck_ = Deadlines_.begin()->first;
  DeadlineTimer_.expires_at(NextCheck_);
  DeadlineTimer_.async_wait(
      [Self = shared_from_this()](const asio::error_code &Error) {
        if (Error || Self->Multi_ == nullptr)
          return;
        Self->NextCheck_ = DeadlineClock::time_point::max();
        Self->checkDeadlines();
      });
}

void LoopCurlMulti::checkDeadlines() {
  const DeadlineClock::time_point Now = DeadlineClock::now();
  while (!Deadlines_.empty() && Deadlines_.begin()->first <= Now) {
    CURL *Handle = Deadlines_.begin()->second;
    Deadlines_.erase(Deadlines_.begin());
    checkDeadline(Handle);
    // A callback may have closed this object.
    if (Multi_ == nullptr)
      return;
  }
  armDeadlineTimer();
}

void LoopCurlMulti::checkDeadline(CURL *Handle) {
  const auto Found = Calls_.find(Handle);
  const DeadlineClock::time_point Deadline = Found->second.Deadline;
  if (Found->second.Socket != CURL_SOCKET_BAD) {
    int Running = 0;
    curl_multi_socket_action(Multi_, Found->second.Socket,
                             CURL_CSELECT_IN | CURL_CSELECT_OUT, &Running);
    finishCompleted();
  }
  if (Multi_ == nullptr)
    return;
  // The call may have ended, and its handle may be in use for another one.
  const auto Entry = Calls_.find(Handle);
  if (Entry == Calls_.end() || Entry->second.Deadline != Deadline)
    return;
  const CurlTransfer &Transfer = *Entry->second.Transfer;
  if (Deadline < Entry->second.StartedAt + Transfer.timeout() &&
      Transfer.isSent(Handle))
    return addDeadline(Handle, Entry->second, Transfer.timeout());
  finish(Handle, CURLE_OPERATION_TIMEDOUT);
}

void LoopCurlMulti::limitConnections(std::size_t Count) {
  curl_multi_setopt(Multi_, CURLMOPT_MAXCONNECTS, static_cast<long>(Count));
}

int LoopCurlMulti::socketCallback(CURL *Handle, curl_socket_t Socket,
                                  int Events, void *Multi, void *) {
  auto &Self = *static_cast<LoopCurlMulti *>(Multi);
  const auto Found = Self.Calls_.find(Handle);
  if (Found != Self.Calls_.end())
    Found->second.Socket =
        Events == CURL_POLL_REMOVE ? CURL_SOCKET_BAD : Socket;
  Self.updateWatch(Socket, Events);
  return 0;
}

int LoopCurlMulti::timerCallback(CURLM *, long DelayMs, void *Multi) {
  static_cast<LoopCurlMulti *>(Multi)->setTimer(DelayMs);
  return 0;
}

void LoopCurlMulti::updateWatch(curl_socket_t Socket, int Events) {
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

void LoopCurlMulti::startWaits(curl_socket_t Socket,
                               const std::shared_ptr<SocketWatch> &Watch) {
  if ((Watch->RequestedEvents & CURL_POLL_IN) != 0 && !Watch->AwaitsRead) {
    Watch->AwaitsRead = true;
    Watch->Descriptor.async_wait(
        asio::posix::descriptor_base::wait_read,
        [Self = shared_from_this(), Socket,
         Watch](const asio::error_code &WaitError) {
          Watch->AwaitsRead = false;
          Self->onSocketReady(Socket, Watch, CURL_CSELECT_IN, WaitError);
        });
  }
  if ((Watch->RequestedEvents & CURL_POLL_OUT) != 0 && !Watch->AwaitsWrite) {
    Watch->AwaitsWrite = true;
    Watch->Descriptor.async_wait(
        asio::posix::descriptor_base::wait_write,
        [Self = shared_from_this(), Socket,
         Watch](const asio::error_code &WaitError) {
          Watch->AwaitsWrite = false;
          Self->onSocketReady(Socket, Watch, CURL_CSELECT_OUT, WaitError);
        });
  }
}

bool LoopCurlMulti::isCurrent(curl_socket_t Socket,
                              const std::shared_ptr<SocketWatch> &Watch) const {
  const auto Found = Watches_.find(Socket);
  return Found != Watches_.end() && Found->second == Watch;
}

void LoopCurlMulti::onSocketReady(curl_socket_t Socket,
                                  const std::shared_ptr<SocketWatch> &Watch,
                                  int Events,
                                  const asio::error_code &WaitError) {
  if (WaitError == asio::error::operation_aborted || !isCurrent(Socket, Watch))
    return;
  int Running = 0;
  curl_multi_socket_action(Multi_, Socket,
                           WaitError ? CURL_CSELECT_ERR : Events, &Running);
  finishCompleted();
  if (isCurrent(Socket, Watch))
    startWaits(Socket, Watch);
}

void LoopCurlMulti::setTimer(long DelayMs) {
  Timer_.cancel();
  if (DelayMs < 0)
    return;
  Timer_.expires_after(milliseconds(DelayMs));
  Timer_.async_wait([Self = shared_from_this()](const asio::error_code &Error) {
    if (Error || Self->Multi_ == nullptr)
      return;
    int Running = 0;
    curl_multi_socket_action(Self->Multi_, CURL_SOCKET_TIMEOUT, 0, &Running);
    Self->finishCompleted();
  });
}

void LoopCurlMulti::finishCompleted() {
  int Remaining = 0;
  while (CURLMsg *Message = curl_multi_info_read(Multi_, &Remaining)) {
    if (Message->msg != CURLMSG_DONE)
      continue;
    const CURLcode Code = Message->data.result;
    finish(Message->easy_handle, Code);
  }
}

void LoopCurlMulti::finish(CURL *Handle, CURLcode Code) {
  const auto Found = Calls_.find(Handle);
  const std::unique_ptr<CurlTransfer> Transfer =
      std::move(Found->second.Transfer);
  Deadlines_.erase({Found->second.Deadline, Handle});
  Calls_.erase(Found);
  HttpResult Result = Transfer->takeResult(Handle, Code, Traffic_);
  curl_multi_remove_handle(Multi_, Handle);
  HandlePool_.release(Handle);
  Transfer->complete(std::move(Result));
}

} // namespace cuminroad
