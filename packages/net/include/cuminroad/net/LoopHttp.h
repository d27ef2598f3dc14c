#ifndef CUMINROAD_NET_LOOPHTTP_H
#define CUMINROAD_NET_LOOPHTTP_H

#include <memory>

#include "cuminroad/net/HttpClient.h"
#include "cuminroad/net/HttpServer.h"
#include "cuminroad/net/Loop.h"

namespace cuminroad {

/// \returns a client without a thread of its own: callbacks are called on the
/// loop's thread, and send() must be called there. \p ControlLoop must come
/// from makeAsioLoop() and outlive the client.
std::unique_ptr<HttpClient> makeLoopHttpClient(RunnableLoop &ControlLoop);

/// Starts a server without a thread of its own: handlers run on the loop's
/// thread, and drain() does not wait for responses to be sent. \p ControlLoop
/// must come from makeAsioLoop() and outlive the server. Throws std::exception
/// if the port can't be opened.
std::unique_ptr<HttpServer>
startLoopHttpServer(RunnableLoop &ControlLoop, const HttpServerOptions &Options,
                    HttpHandler Handler);

} // namespace cuminroad

#endif
