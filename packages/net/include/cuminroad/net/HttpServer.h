#ifndef CUMINROAD_NET_HTTPSERVER_H
#define CUMINROAD_NET_HTTPSERVER_H

#include <functional>
#include <memory>
#include <string>

#include "cuminroad/net/ConnectionBudget.h"
#include "cuminroad/net/HttpMessage.h"

namespace cuminroad {

/// Sends the response to one request. Must be called exactly once, from any
/// thread, also after the handler has returned.
using HttpResponder = std::function<void(HttpResponse)>;
/// Called for each request, on the server's thread.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

/// Called on the server's thread when a connection or request hits a limit,
/// with the peer's address.
using HttpLimitListener =
    std::function<void(LimitCause Cause, const std::string &Peer)>;

/// The address on which a server listens, and its limits.
struct HttpServerOptions {
  std::string Address;
  int Port = 0;
  ConnectionLimits Limits = {};
  HttpLimitListener OnLimit = {};
};

/// A running HTTP/1.1 server.
class HttpServer {
public:
  /// Stops at once and drops responses that are not sent; call drain() before
  /// to send them.
  virtual ~HttpServer() = default;
  /// Adds "Connection: close" to all further responses.
  virtual void announceClose() = 0;
  /// Closes the listening socket, and waits until the responses to all accepted
  /// requests are sent. A server on a loop does not wait.
  virtual void drain() = 0;
  /// \returns the number of requests whose response is not sent yet.
  virtual std::size_t inFlight() const = 0;
  /// Replaces the limits. A server on a loop must be called on its thread.
  virtual void setLimits(const ConnectionLimits &Limits) = 0;
};

/// Starts a server with a thread of its own. Throws std::exception if the port
/// can't be opened.
std::unique_ptr<HttpServer> startHttpServer(const HttpServerOptions &Options,
                                            HttpHandler Handler);

} // namespace cuminroad

#endif
