#ifndef CUMINROAD_DAEMON_SRC_API_H
#define CUMINROAD_DAEMON_SRC_API_H

#include <functional>
#include <string>
#include <vector>

#include "DaemonComponents.h"
#include "Metrics.h"
#include "cuminroad/daemon/HttpResponses.h"
#include "cuminroad/net/HttpServer.h"

namespace cuminroad {

/// The daemon's HTTP API for callers and operators, see docs/API.md. handle()
/// may be called on any thread. Service requests, tickets and health checks are
/// handled on that thread, everything else on the control thread.
class Api {
public:
  Api(DaemonComponents &Components, RequestFrontend &Frontend,
      Metrics &DaemonMetrics);

  void handle(HttpRequest Request, HttpResponder Respond);
  /// Whether a load balancer may send callers to this daemon.
  std::function<bool()> IsReady;
  /// Returns the traffic of messages between daemons, for the metrics.
  std::function<PeerTraffic()> GetPeerTraffic;

private:
  using PathSegments = std::vector<std::string>;

  void handleOnControlThread(const PathSegments &Segments,
                             const HttpRequest &Request,
                             const HttpResponder &Respond);
  bool authorized(const HttpRequest &Request) const;
  void handleJobs(const PathSegments &Segments, const HttpRequest &Request,
                  const HttpResponder &Respond);
  void handleContracts(const PathSegments &Segments, const HttpRequest &Request,
                       const HttpResponder &Respond);
  void submitJob(const HttpRequest &Request, const HttpResponder &Respond);
  /// Submits a job to each of \p Domains in turn until one doesn't refuse it.
  /// If all refuse, responds with the first refusal; \p FirstRefusal is empty
  /// until there is one.
  void submitToDomains(const HttpRequest &Request, const HttpResponder &Respond,
                       std::vector<std::string> Domains,
                       HttpResponse FirstRefusal);
  void submitToLocalOwner(const HttpRequest &Request,
                          const HttpResponder &Respond);
  void showJob(const std::string &Id, const HttpRequest &Request,
               const HttpResponder &Respond);
  void readFinishedJob(const std::string &Id, const HttpResponder &Respond);
  void cancelJob(const std::string &Id, const HttpRequest &Request,
                 const HttpResponder &Respond);
  void changeContract(const std::string &Customer, const HttpRequest &Request,
                      const HttpResponder &Respond);
  void listContracts(const HttpResponder &Respond);
  void showState(const HttpResponder &Respond);
  void showEvents(const HttpRequest &Request, const HttpResponder &Respond);
  void drainVm(const std::string &Vm, const HttpRequest &Request,
               const HttpResponder &Respond);
  /// Forwards the request to the owner of \p Domain and passes on its response.
  void forwardToOwner(const std::string &Domain, const HttpRequest &Request,
                      HttpResponder Respond);
  void forwardToDaemon(const std::string &Http, const HttpRequest &Request,
                       HttpResponder Respond);

  DaemonComponents &Components_;
  RequestFrontend &Frontend_;
  Metrics &Metrics_;
};

} // namespace cuminroad

#endif
