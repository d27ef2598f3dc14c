#include "LoopCurlMulti.h"

#include <algorithm>

#include <asio/post.hpp>
#include <unistd.h>

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
    releaseWatch(Entry.Socket);
    curl_multi_remove_handle(Multi_, Handle);
    curl_easy_cleanup(Handle);
  }
  Calls_.clear();
  Deadlines_.clear();
  // Closes the connections, and thereby ends their watches.
  curl_multi_cleanup(Multi_);
  Multi_ = nullptr;
  Timer_.cancel();
  DeadlineTimer_.cancel();
}

void LoopCurlMulti::send(std::unique_ptr<CurlTransfer> Transfer) {
  CURL *Handle = HandlePool_.acquire();
  Transfer->configure(Handle);
  curl_easy_setopt(Handle, CURLOPT_CLOSESOCKETFUNCTION, closeCallback);
  curl_easy_setopt(Handle, CURLOPT_CLOSESOCKETDATA, this);
  const milliseconds FirstTimeout =
      std::min(Transfer->connectTimeout(), Transfer->timeout());
  Call &Entry = Calls_[Handle];
  Entry.Transfer = std::move(Transfer);
  Entry.StartedAt = TimerClock::now();
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
        Self->NextCheck_ = TimerClock::time_point::max();
        Self->checkDeadlines();
      });
}

void LoopCurlMulti::checkDeadlines() {
  const TimerClock::time_point Now = TimerClock::now();
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
  const TimerClock::time_point Deadline = Found->second.Deadline;
  // A request that has not been sent in time is not sent any more.
  if (!CurlTransfer::isSent(Handle) &&
      TimerClock::now() >=
          Found->second.StartedAt + Found->second.Transfer->timeout())
    return finish(Handle, CURLE_OPERATION_TIMEDOUT);
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
  if (Found != Self.Calls_.end()) {
    if (Events != CURL_POLL_REMOVE)
      Found->second.Socket = Socket;
    else if (Found->second.Socket == Socket)
      Found->second.Socket = CURL_SOCKET_BAD;
  }
  Self.updateWatch(Socket, Events);
  return 0;
}

int LoopCurlMulti::timerCallback(CURLM *, long DelayMs, void *Multi) {
  static_cast<LoopCurlMulti *>(Multi)->setTimer(DelayMs);
  return 0;
}

int LoopCurlMulti::closeCallback(void *Multi, curl_socket_t Socket) {
  return static_cast<LoopCurlMulti *>(Multi)->closeSocket(Socket);
}

int LoopCurlMulti::closeSocket(curl_socket_t Socket) {
  const auto Found = Watches_.find(Socket);
  if (Found == Watches_.end())
    return ::close(Socket);
  const std::shared_ptr<SocketWatch> Watch = std::move(Found->second);
  Watches_.erase(Found);
  Watch->Closed = true;
  asio::error_code CloseError;
  Watch->Descriptor.close(CloseError);
  return CloseError ? -1 : 0;
}

void LoopCurlMulti::updateWatch(curl_socket_t Socket, int Events) {
  const auto Found = Watches_.find(Socket);
  if (Events == CURL_POLL_REMOVE) {
    // The connection may be cached: its watch stays until libcurl closes it.
    if (Found != Watches_.end())
      Found->second->RequestedEvents = 0;
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
  startWaits(Watch);
}

void LoopCurlMulti::releaseWatch(curl_socket_t Socket) {
  const auto Found = Watches_.find(Socket);
  if (Found == Watches_.end())
    return;
  Found->second->Closed = true;
  Found->second->Descriptor.release();
  Watches_.erase(Found);
}

void LoopCurlMulti::startWaits(const std::shared_ptr<SocketWatch> &Watch) {
  if ((Watch->RequestedEvents & CURL_POLL_IN) != 0 && !Watch->AwaitsRead) {
    Watch->AwaitsRead = true;
    Watch->Descriptor.async_wait(
        asio::posix::descriptor_base::wait_read,
        [Self = shared_from_this(), Watch](const asio::error_code &WaitError) {
          Watch->AwaitsRead = false;
          Self->onSocketReady(Watch, CURL_POLL_IN, CURL_CSELECT_IN, WaitError);
        });
  }
  if ((Watch->RequestedEvents & CURL_POLL_OUT) != 0 && !Watch->AwaitsWrite) {
    Watch->AwaitsWrite = true;
    Watch->Descriptor.async_wait(
        asio::posix::descriptor_base::wait_write,
        [Self = shared_from_this(), Watch](const asio::error_code &WaitError) {
          Watch->AwaitsWrite = false;
          Self->onSocketReady(Watch, CURL_POLL_OUT, CURL_CSELECT_OUT,
                              WaitError);
        });
  }
}

void LoopCurlMulti::onSocketReady(const std::shared_ptr<SocketWatch> &Watch,
                                  int RequestedEvent, int ReadyEvent,
                                  const asio::error_code &WaitError) {
  if (Watch->Closed || (Watch->RequestedEvents & RequestedEvent) == 0)
    return;
  int Running = 0;
  curl_multi_socket_action(Multi_, Watch->Descriptor.native_handle(),
                           WaitError ? CURL_CSELECT_ERR : ReadyEvent, &Running);
  finishCompleted();
  if (!Watch->Closed)
    startWaits(Watch);
}

void LoopCurlMulti::setTimer(long DelayMs) {
  if (DelayMs < 0) {
    Timeout_.reset();
    return;
  }
  Timeout_ = TimerClock::now() + milliseconds(DelayMs);
  if (DelayMs == 0)
    postTimeout();
  else if (!TimerRuns_ || *Timeout_ < Timer_.expiry())
    startTimer();
}

void LoopCurlMulti::postTimeout() {
  if (TimeoutPosted_)
    return;
  TimeoutPosted_ = true;
  asio::post(Context_, [Self = shared_from_this()] {
    Self->TimeoutPosted_ = false;
    Self->runTimeout();
    if (Self->Timeout_ && !Self->TimerRuns_ && !Self->TimeoutPosted_)
      Self->startTimer();
  });
}

void LoopCurlMulti::startTimer() {
  TimerRuns_ = true;
  Timer_.expires_at(*Timeout_);
  Timer_.async_wait([Self = shared_from_this()](const asio::error_code &Error) {
    // It was cancelled or started anew.
    if (Error || Self->Timer_.expiry() > TimerClock::now())
      return;
    Self->TimerRuns_ = false;
    Self->runTimeout();
    if (Self->Timeout_ && !Self->TimerRuns_ && !Self->TimeoutPosted_)
      Self->startTimer();
  });
}

void LoopCurlMulti::runTimeout() {
  if (Multi_ == nullptr || !Timeout_ || *Timeout_ > TimerClock::now())
    return;
  Timeout_.reset();
  int Running = 0;
  curl_multi_socket_action(Multi_, CURL_SOCKET_TIMEOUT, 0, &Running);
  finishCompleted();
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
  if (Code == CURLE_OPERATION_TIMEDOUT)
    releaseWatch(Found->second.Socket);
  Calls_.erase(Found);
  HttpResult Result = Transfer->takeResult(Handle, Code, Traffic_);
  curl_multi_remove_handle(Multi_, Handle);
  HandlePool_.release(Handle);
  Transfer->complete(std::move(Result));
}

} // namespace cuminroad
