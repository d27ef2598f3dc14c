#ifndef CUMINROAD_NET_HTTPSERVER_H
#define CUMINROAD_NET_HTTPSERVER_H

#include <functional>
#include <memory>
#include <string>

#include "cuminroad/net/HttpMessage.h"

namespace cuminroad {

/// Sends the answer to one request. Must be called exactly once; from any
/// thread, also after the handler returned.
using HttpResponder = std::function<void(HttpResponse)>;
/// Called on the server's thread for each request.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

/// Where a server listens and what it accepts.
struct HttpServerOptions {
  std::string Address;
  int Port = 0;
  /// Larger bodies are answered with 413.
  std::size_t MaxBodyBytes = 1 << 20;
};

/// An HTTP/1.1 server with one thread of its own.
class HttpServer {
public:
  /// Stops without waiting for answers; call drain() first to keep them.
  virtual ~HttpServer() = default;
  /// Tells callers to close their connections after the next answer.
  virtual void announceClose() = 0;
  /// Closes the listening socket and waits until each accepted request has its
  /// answer on the wire.
  virtual void drain() = 0;
  /// \returns the number of requests without an answer.
  virtual std::size_t inFlight() const = 0;
};

/// Starts a server; throws std::exception where the port can't be opened.
std::unique_ptr<HttpServer> startHttpServer(const HttpServerOptions &Options,
                                            HttpHandler Handler);

} // namespace cuminroad

#endif
