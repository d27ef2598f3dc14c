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

/// A request for an HttpClient to send.
struct HttpCall {
  std::string Method = "GET";
  std::string Url;
  HttpHeaders Headers;
  std::string Body;
  milliseconds ConnectTimeout{1000};
  milliseconds Timeout{5000};
  /// The request is sent on a new connection, which is closed after the
  /// response.
  bool FreshConnection = false;
  /// If an open connection is lost before the first byte of a response, the
  /// request is sent again on a new one. The server may get it twice, and the
  /// response to one copy says nothing about the other: set this only where
  /// neither does harm. GET and HEAD requests are sent again in any case, all
  /// others fail with AnswerLost.
  bool AllowResend = false;
  /// Sent as the X-Request-Id header, which the response must repeat if it has
  /// one; "" sends and checks none.
  std::string RequestId;
};

/// The response to a call or its error: ConnectFailed and ConnectTimedOut mean
/// that nothing was sent; after Timeout, AnswerTooSlow, AnswerLost,
/// AnswerIncomplete and AnswerMismatched the server may have acted on the
/// request.
using HttpResult = Result<HttpResponse>;
/// \returns the name of the error, or the status and how often the request was
/// sent, for the event log.
std::string describeResult(const HttpResult &Result);
/// Called exactly once, on the client's thread, unless the client is destroyed
/// before.
using HttpCallback = std::function<void(HttpResult)>;

/// Bytes that a client sent and received, including HTTP headers, and the
/// number of calls that it started.
struct HttpTraffic {
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t Calls = 0;
  /// Requests that were sent again, since their connection was lost.
  std::uint64_t Resends = 0;
  /// Requests that failed with AnswerLost in place of being sent again.
  std::uint64_t PreventedResends = 0;
};

/// Sends HTTP/1.1 calls without blocking the caller.
class HttpClient {
public:
  /// Aborts calls in progress without calling their callbacks.
  virtual ~HttpClient() = default;
  /// Sends \p Call in the background. Safe from any thread for a client with a
  /// thread of its own.
  virtual void send(HttpCall Call, HttpCallback Done) = 0;
  virtual HttpTraffic traffic() const = 0;
};

/// \returns a client that has a thread of its own, on which callbacks are
/// called.
std::unique_ptr<HttpClient> makeHttpClient();

} // namespace cuminroad

#endif
