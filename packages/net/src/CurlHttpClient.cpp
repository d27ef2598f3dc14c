#include "cuminroad/net/HttpClient.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include <curl/curl.h>

namespace cuminroad {

namespace {

constexpr int PollMs = 1000;
constexpr long IdleConnectionsKept = 1024;
/// An idle connection that a server is about to close is better not reused.
constexpr long MaxIdleSeconds = 30;

/// One call in flight.
struct Transfer {
  HttpCall Call;
  HttpCallback Done;
  HttpResponse Answer;
  curl_slist *HeaderList = nullptr;

  ~Transfer() { curl_slist_free_all(HeaderList); }
};

size_t takeBody(char *Data, size_t Size, size_t Count, void *User) {
  static_cast<Transfer *>(User)->Answer.Body.append(Data, Size * Count);
  return Size * Count;
}

void takeHeader(Transfer &Open, std::string_view Line) {
  if (Line.starts_with("HTTP/")) {
    // A 100 Continue precedes the real answer's headers.
    Open.Answer.Headers.clear();
    return;
  }
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return;
  std::size_t Start = Line.find_first_not_of(' ', Colon + 1);
  std::size_t End = Line.find_last_not_of("\r\n ");
  if (Start == std::string_view::npos || End < Start)
    Start = End + 1;
  Open.Answer.Headers.emplace_back(Line.substr(0, Colon),
                                   Line.substr(Start, End - Start + 1));
}

size_t takeHeaderLine(char *Data, size_t Size, size_t Count, void *User) {
  takeHeader(*static_cast<Transfer *>(User),
             std::string_view(Data, Size * Count));
  return Size * Count;
}

/// Whether the end of the body is marked: a body that only the connection's
/// end delimits can't be told from one that was cut off.
bool endIsMarked(const HttpResponse &Answer) {
  return !findHeader(Answer.Headers, "Content-Length").empty() ||
         !findHeader(Answer.Headers, "Transfer-Encoding").empty() ||
         Answer.Status == 204;
}

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
    for (CURL *Handle : Idle_)
      curl_easy_cleanup(Handle);
    curl_multi_cleanup(Multi_);
  }

  void send(HttpCall Call, HttpCallback Done) override {
    auto New = std::make_unique<Transfer>();
    New->Call = std::move(Call);
    New->Done = std::move(Done);
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
    std::vector<std::unique_ptr<Transfer>> New;
    {
      const std::lock_guard Lock(Mutex_);
      New.swap(Queue_);
    }
    for (std::unique_ptr<Transfer> &Entry : New)
      start(std::move(Entry));
  }

  CURL *takeHandle() {
    if (Idle_.empty())
      return curl_easy_init();
    CURL *Handle = Idle_.back();
    Idle_.pop_back();
    curl_easy_reset(Handle);
    return Handle;
  }

  void start(std::unique_ptr<Transfer> New) {
    CURL *Handle = takeHandle();
    const HttpCall &Call = New->Call;
    for (const auto &[Name, Value] : Call.Headers)
      New->HeaderList =
          curl_slist_append(New->HeaderList, (Name + ": " + Value).c_str());
    if (!Call.RequestId.empty())
      New->HeaderList = curl_slist_append(
          New->HeaderList, ("X-Request-Id: " + Call.RequestId).c_str());
    // Waiting for "100 Continue" would delay larger bodies by a second; the
    // other two only add bytes to small calls.
    New->HeaderList = curl_slist_append(New->HeaderList, "Expect:");
    New->HeaderList = curl_slist_append(New->HeaderList, "Accept:");
    if (findHeader(Call.Headers, "Content-Type").empty())
      New->HeaderList = curl_slist_append(New->HeaderList, "Content-Type:");
    curl_easy_setopt(Handle, CURLOPT_URL, Call.Url.c_str());
    curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Call.Method.c_str());
    if (!Call.Body.empty() || Call.Method == "POST" || Call.Method == "PUT") {
      curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE,
                       static_cast<long>(Call.Body.size()));
      curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Call.Body.c_str());
    }
    curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, New->HeaderList);
    curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, takeBody);
    curl_easy_setopt(Handle, CURLOPT_WRITEDATA, New.get());
    curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, takeHeaderLine);
    curl_easy_setopt(Handle, CURLOPT_HEADERDATA, New.get());
    curl_easy_setopt(Handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(Call.ConnectTimeout.count()));
    curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(Call.Timeout.count()));
    curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(Handle, CURLOPT_PROXY, "");
    curl_easy_setopt(Handle, CURLOPT_MAXAGE_CONN, MaxIdleSeconds);
    curl_easy_setopt(Handle, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, Call.NeverResend ? 1L : 0L);
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
    std::unique_ptr<Transfer> Ended = std::move(Found->second);
    Open_.erase(Found);
    long HeaderBytesSent = 0;
    long HeaderBytesReceived = 0;
    long Status = 0;
    curl_easy_getinfo(Handle, CURLINFO_REQUEST_SIZE, &HeaderBytesSent);
    curl_easy_getinfo(Handle, CURLINFO_HEADER_SIZE, &HeaderBytesReceived);
    curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
    curl_multi_remove_handle(Multi_, Handle);
    Idle_.push_back(Handle);
    BytesSent_ += HeaderBytesSent + Ended->Call.Body.size();
    BytesReceived_ += HeaderBytesReceived + Ended->Answer.Body.size();
    Ended->Answer.Status = static_cast<int>(Status);
    Ended->Done(judge(*Ended, Code, HeaderBytesSent > 0));
  }

  static HttpResult judge(Transfer &Ended, CURLcode Code, bool WasSent) {
    const HttpCall &Call = Ended.Call;
    if (Code != CURLE_OK) {
      if (!WasSent)
        return failure(ErrorCode::ConnectFailed, Call.Url);
      if (Code == CURLE_OPERATION_TIMEDOUT)
        return failure(ErrorCode::Timeout, Call.Url);
      if (Code == CURLE_PARTIAL_FILE)
        return failure(ErrorCode::AnswerIncomplete, Call.Url);
      return failure(ErrorCode::AnswerLost, Call.Url);
    }
    if (!endIsMarked(Ended.Answer))
      return failure(ErrorCode::AnswerIncomplete, Call.Url);
    const std::string_view Echo =
        findHeader(Ended.Answer.Headers, "X-Request-Id");
    if (!Call.RequestId.empty() && !Echo.empty() && Echo != Call.RequestId)
      return failure(ErrorCode::AnswerMismatched, Call.Url);
    return std::move(Ended.Answer);
  }

  CURLM *Multi_;
  std::unordered_map<CURL *, std::unique_ptr<Transfer>> Open_;
  std::vector<CURL *> Idle_;
  std::mutex Mutex_;
  std::vector<std::unique_ptr<Transfer>> Queue_;
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
