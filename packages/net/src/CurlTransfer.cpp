#include "CurlTransfer.h"

namespace cuminroad {

namespace {

/// An idle connection that a server is about to close is better not reused.
constexpr long MaxIdleSeconds = 30;

/// Whether the end of the body is marked: a body that only the connection's
/// end delimits can't be told from one that was cut off.
bool endIsMarked(const HttpResponse &Answer) {
  return !findHeader(Answer.Headers, "Content-Length").empty() ||
         !findHeader(Answer.Headers, "Transfer-Encoding").empty() ||
         Answer.Status == 204;
}

} // namespace

size_t CurlTransfer::takeBody(char *Data, size_t Size, size_t Count,
                              void *User) {
  static_cast<CurlTransfer *>(User)->Answer_.Body.append(Data, Size * Count);
  return Size * Count;
}

size_t CurlTransfer::takeHeaderLine(char *Data, size_t Size, size_t Count,
                                    void *User) {
  static_cast<CurlTransfer *>(User)->takeHeader(
      std::string_view(Data, Size * Count));
  return Size * Count;
}

void CurlTransfer::takeHeader(std::string_view Line) {
  if (Line.starts_with("HTTP/")) {
    // A 100 Continue precedes the real answer's headers.
    Answer_.Headers.clear();
    return;
  }
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return;
  std::size_t Start = Line.find_first_not_of(' ', Colon + 1);
  std::size_t End = Line.find_last_not_of("\r\n ");
  if (Start == std::string_view::npos || End < Start)
    Start = End + 1;
  Answer_.Headers.emplace_back(Line.substr(0, Colon),
                               Line.substr(Start, End - Start + 1));
}

void CurlTransfer::prepare(CURL *Handle) {
  for (const auto &[Name, Value] : Call_.Headers)
    HeaderList_ = curl_slist_append(HeaderList_, (Name + ": " + Value).c_str());
  if (!Call_.RequestId.empty())
    HeaderList_ = curl_slist_append(
        HeaderList_, ("X-Request-Id: " + Call_.RequestId).c_str());
  // Waiting for "100 Continue" would delay larger bodies by a second; the
  // other two only add bytes to small calls.
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
  }
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, HeaderList_);
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, takeBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, takeHeaderLine);
  curl_easy_setopt(Handle, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(Handle, CURLOPT_PRIVATE, this);
  curl_easy_setopt(Handle, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(Call_.ConnectTimeout.count()));
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Call_.Timeout.count()));
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Handle, CURLOPT_PROXY, "");
  curl_easy_setopt(Handle, CURLOPT_MAXAGE_CONN, MaxIdleSeconds);
  curl_easy_setopt(Handle, CURLOPT_PROTOCOLS_STR, "http,https");
  // libcurl keeps idle connections by the hundred, and a server may take only
  // so many: one that is opened for a call is closed after it.
  const long OwnConnection = Call_.NeverResend ? 1 : 0;
  curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, OwnConnection);
  curl_easy_setopt(Handle, CURLOPT_FORBID_REUSE, OwnConnection);
}

HttpResult CurlTransfer::finish(CURL *Handle, CURLcode Code, HttpTraffic &Use) {
  long HeaderBytesSent = 0;
  long HeaderBytesReceived = 0;
  long Status = 0;
  curl_easy_getinfo(Handle, CURLINFO_REQUEST_SIZE, &HeaderBytesSent);
  curl_easy_getinfo(Handle, CURLINFO_HEADER_SIZE, &HeaderBytesReceived);
  curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
  Use.BytesSent += HeaderBytesSent + Call_.Body.size();
  Use.BytesReceived += HeaderBytesReceived + Answer_.Body.size();
  Answer_.Status = static_cast<int>(Status);
  return judge(Code, HeaderBytesSent > 0);
}

HttpResult CurlTransfer::judge(CURLcode Code, bool WasSent) {
  if (Code != CURLE_OK) {
    if (!WasSent)
      return failure(ErrorCode::ConnectFailed, Call_.Url);
    if (Code == CURLE_OPERATION_TIMEDOUT)
      return failure(ErrorCode::Timeout, Call_.Url);
    if (Code == CURLE_PARTIAL_FILE)
      return failure(ErrorCode::AnswerIncomplete, Call_.Url);
    return failure(ErrorCode::AnswerLost, Call_.Url);
  }
  if (!endIsMarked(Answer_))
    return failure(ErrorCode::AnswerIncomplete, Call_.Url);
  const std::string_view Echo = findHeader(Answer_.Headers, "X-Request-Id");
  if (!Call_.RequestId.empty() && !Echo.empty() && Echo != Call_.RequestId)
    return failure(ErrorCode::AnswerMismatched, Call_.Url);
  return std::move(Answer_);
}

CurlHandlePool::~CurlHandlePool() {
  for (CURL *Handle : Idle_)
    curl_easy_cleanup(Handle);
}

CURL *CurlHandlePool::take() {
  if (Idle_.empty())
    return curl_easy_init();
  CURL *Handle = Idle_.back();
  Idle_.pop_back();
  curl_easy_reset(Handle);
  return Handle;
}

} // namespace cuminroad
