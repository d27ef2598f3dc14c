#ifndef CUMINROAD_NET_HTTPCLIENT_H
#define CUMINROAD_NET_HTTPCLIENT_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "cuminroad/base/Clock.h"
#include "cuminroad/base/Error.h"
#include "cuminroad/net/HttpMessage.h"

namespace cuminroad {

/// A request to send.
struct HttpCall {
  std::string Method = "GET";
  std::string Url;
  HttpHeaders Headers;
  std::string Body;
  milliseconds ConnectTimeout{1000};
  milliseconds Timeout{5000};
  /// The bytes must not reach a server twice. Such a call opens a connection
  /// of its own, which is closed after it: libcurl silently resends a request
  /// when a reused connection closes before the first byte of the answer.
  bool NeverResend = false;
  /// The id that the answer's X-Request-Id must repeat; "" checks nothing.
  std::string RequestId;
};

/// What a call came to. Failures are ConnectFailed (certainly nothing was
/// sent), and Timeout, AnswerLost, AnswerIncomplete, AnswerMismatched (the
/// server may have acted).
using HttpResult = Result<HttpResponse>;
/// Called once, on the client's thread.
using HttpCallback = std::function<void(HttpResult)>;

/// Bytes that a client sent and received, with HTTP headers.
struct HttpTraffic {
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t Calls = 0;
};

/// Sends HTTP/1.1 calls without blocking the caller.
class HttpClient {
public:
  /// Ends open calls; their callbacks are not called.
  virtual ~HttpClient() = default;
  /// Queues \p Call; safe from any thread.
  virtual void send(HttpCall Call, HttpCallback Done) = 0;
  virtual HttpTraffic traffic() const = 0;
};

/// Starts a client with one thread of its own.
std::unique_ptr<HttpClient> makeHttpClient();

} // namespace cuminroad

#endif
