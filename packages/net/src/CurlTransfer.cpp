#include "CurlTransfer.h"

#include <algorithm>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cuminroad {

namespace {

/// A connection without traffic for this long is probed.
constexpr int KeepAliveIdleSeconds = 1;
/// A probe that isn't acknowledged for this long ends the connection.
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 1;
/// Data that isn't acknowledged for this long ends the connection. The kernel
/// repeats lost packets several times before.
constexpr milliseconds MaxUnacknowledgedTime{1000};
/// Connections that were idle for longer are not reused, since the server may
/// be about to close them.
constexpr long MaxIdleSeconds = 30;

/// \returns whether the message itself marks the end of its body. A body that
/// ends when the connection closes can't be told from a truncated one.
bool hasDelimitedBody(const HttpResponse &Response) {
  return !findHeader(Response.Headers, "Content-Length").empty() ||
         !findHeader(Response.Headers, "Transfer-Encoding").empty() ||
         Response.Status == 204;
}

/// Makes the kernel end a connection on which the peer acknowledges nothing.
/// Otherwise only timeouts of calls would show it, one connection after
/// another.
int setKeepAlive(void *, curl_socket_t Socket, curlsocktype) {
  const auto Set = [Socket](int Level, int Option, int Value) {
    return setsockopt(Socket, Level, Option, &Value, sizeof(Value)) == 0;
  };
  const bool AllSet =
      Set(SOL_SOCKET, SO_KEEPALIVE, 1) &&
      Set(IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds) &&
      Set(IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds) &&
      Set(IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes) &&
      Set(IPPROTO_TCP, TCP_USER_TIMEOUT,
          static_cast<int>(MaxUnacknowledgedTime.count()));
  return AllSet ? CURL_SOCKOPT_OK : CURL_SOCKOPT_ERROR;
}

bool mayResend(const HttpCall &Call) {
  return Call.AllowResend || Call.Method == "GET" || Call.Method == "HEAD";
}

} // namespace

size_t CurlTransfer::writeCallback(char *Data, size_t Size, size_t Count,
                                   void *Transfer) {
  static_cast<CurlTransfer *>(Transfer)->Response_.Body.append(Data,
                                                               Size * Count);
  return Size * Count;
}

bool CurlTransfer::isSent(CURL *Handle) {
  long BytesSent = 0;
  curl_easy_getinfo(Handle, CURLINFO_REQUEST_SIZE, &BytesSent);
  return BytesSent > 0;
}

int CurlTransfer::sendCallback(void *Transfer, char *, char *, int, int) {
  return static_cast<CurlTransfer *>(Transfer)->recordSend()
             ? CURL_PREREQFUNC_OK
             : CURL_PREREQFUNC_ABORT;
}

bool CurlTransfer::recordSend() {
  const bool IsResend = isSent(Handle_);
  ResendPrevented_ = IsResend && !mayResend(Call_);
  if (ResendPrevented_)
    return false;
  // If libcurl sends the request again, the connections that it keeps may be as
  // dead as this one.
  curl_easy_setopt(Handle_, CURLOPT_FRESH_CONNECT, 1L);
  // libcurl also comes here again if it could not send a single byte before.
  Sends_ = IsResend ? Sends_ + 1 : 1;
  return true;
}

size_t CurlTransfer::headerCallback(char *Data, size_t Size, size_t Count,
                                    void *Transfer) {
  static_cast<CurlTransfer *>(Transfer)->parseHeaderLine(
      std::string_view(Data, Size * Count));
  return Size * Count;
}

void CurlTransfer::parseHeaderLine(std::string_view Line) {
  if (Line.starts_with("HTTP/")) {
    // A status line starts a new response: drops headers of a preceding interim
    // response such as 100 Continue.
    Response_.Headers.clear();
    return;
  }
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return;
  std::size_t Start = Line.find_first_not_of(' ', Colon + 1);
  std::size_t End = Line.find_last_not_of("\r\n ");
  if (Start == std::string_view::npos || End < Start)
    Start = End + 1;
  Response_.Headers.emplace_back(Line.substr(0, Colon),
                                 Line.substr(Start, End - Start + 1));
}

void CurlTransfer::prepare(CURL *Handle) {
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, writeCallback);
  curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, headerCallback);
  curl_easy_setopt(Handle, CURLOPT_PREREQFUNCTION, sendCallback);
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Handle, CURLOPT_SOCKOPTFUNCTION, setKeepAlive);
  curl_easy_setopt(Handle, CURLOPT_PROXY, "");
  // Without it libcurl looks for the variable no_proxy at each call.
  curl_easy_setopt(Handle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(Handle, CURLOPT_MAXAGE_CONN, MaxIdleSeconds);
  curl_easy_setopt(Handle, CURLOPT_PROTOCOLS_STR, "http,https");
}

void CurlTransfer::configure(CURL *Handle) {
  for (const auto &[Name, Value] : Call_.Headers)
    HeaderList_ = curl_slist_append(HeaderList_, (Name + ": " + Value).c_str());
  if (!Call_.RequestId.empty())
    HeaderList_ = curl_slist_append(
        HeaderList_, ("X-Request-Id: " + Call_.RequestId).c_str());
  // An empty value removes a header that libcurl adds by itself. With "Expect"
  // larger bodies would wait up to a second for "100 Continue"; the other two
  // only add bytes to small calls.
  HeaderList_ = curl_slist_append(HeaderList_, "Expect:");
  HeaderList_ = curl_slist_append(HeaderList_, "Accept:");
  if (findHeader(Call_.Headers, "Content-Type").empty())
    HeaderList_ = curl_slist_append(HeaderList_, "Content-Type:");
  curl_easy_setopt(Handle, CURLOPT_URL, Call_.Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Call_.Method.c_str());
  if (!Call_.Body.empty() || Call_.Method == "POST" || Call_.Method == "PUT") {
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(Call_.Body.size()));
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Call_.Body.c_str());
  } else {
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, nullptr);
    curl_easy_setopt(Handle, CURLOPT_HTTPGET, 1L);
  }
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, HeaderList_);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(Handle, CURLOPT_HEADERDATA, this);
  Handle_ = Handle;
  curl_easy_setopt(Handle, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(Handle, CURLOPT_PRIVATE, this);
  // A connection opened for one call is closed after it: libcurl would keep
  // hundreds of them idle, and a server may limit its connections.
  const long UseOwnConnection = Call_.FreshConnection ? 1 : 0;
  curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, UseOwnConnection);
  curl_easy_setopt(Handle, CURLOPT_FORBID_REUSE, UseOwnConnection);
}

void CurlTransfer::setTimeouts(CURL *Handle) const {
  curl_easy_setopt(Handle, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(Call_.ConnectTimeout.count()));
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Call_.Timeout.count()));
}

HttpResult CurlTransfer::takeResult(CURL *Handle, CURLcode Code,
                                    HttpTraffic &Traffic) {
  long HeaderBytesSent = 0;
  long HeaderBytesReceived = 0;
  long Status = 0;
  curl_easy_getinfo(Handle, CURLINFO_REQUEST_SIZE, &HeaderBytesSent);
  curl_easy_getinfo(Handle, CURLINFO_HEADER_SIZE, &HeaderBytesReceived);
  curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
  Traffic.BytesSent += HeaderBytesSent + Call_.Body.size();
  Traffic.BytesReceived += HeaderBytesReceived + Response_.Body.size();
  Traffic.Resends += std::max(Sends_ - 1, 0);
  Traffic.PreventedResends += ResendPrevented_ ? 1 : 0;
  Response_.Status = static_cast<int>(Status);
  Response_.Sends = Sends_;
  return makeResult(Code, HeaderBytesSent > 0);
}

HttpResult CurlTransfer::makeResult(CURLcode Code, bool WasSent) {
  if (Code != CURLE_OK) {
    if (!WasSent)
      return failure(Code == CURLE_OPERATION_TIMEDOUT
                         ? ErrorCode::ConnectTimedOut
                         : ErrorCode::ConnectFailed,
                     Call_.Url);
    if (Code == CURLE_OPERATION_TIMEDOUT) {
      const bool Arriving = !Response_.Headers.empty();
      return failure(Arriving ? ErrorCode::AnswerTooSlow : ErrorCode::Timeout,
                     Call_.Url);
    }
    if (Code == CURLE_PARTIAL_FILE)
      return failure(ErrorCode::AnswerIncomplete, Call_.Url);
    return failure(ErrorCode::AnswerLost, Call_.Url);
  }
  if (!hasDelimitedBody(Response_))
    return failure(ErrorCode::AnswerIncomplete, Call_.Url);
  const std::string_view ResponseId =
      findHeader(Response_.Headers, "X-Request-Id");
  if (!Call_.RequestId.empty() && !ResponseId.empty() &&
      ResponseId != Call_.RequestId)
    return failure(ErrorCode::AnswerMismatched, Call_.Url);
  return std::move(Response_);
}

CurlHandlePool::~CurlHandlePool() {
  for (CURL *Handle : IdleHandles_)
    curl_easy_cleanup(Handle);
}

CURL *CurlHandlePool::acquire() {
  if (IdleHandles_.empty()) {
    CURL *Handle = curl_easy_init();
    CurlTransfer::prepare(Handle);
    return Handle;
  }
  CURL *Handle = IdleHandles_.back();
  IdleHandles_.pop_back();
  return Handle;
}

} // namespace cuminroad
