#ifndef CUMINROAD_DAEMON_SRC_API_H
#define CUMINROAD_DAEMON_SRC_API_H

#include <functional>
#include <string>
#include <vector>

#include "DaemonComponents.h"
#include "Metrics.h"
#include "cuminroad/daemon/HttpReplies.h"
#include "cuminroad/net/HttpServer.h"

namespace cuminroad {

/// The daemon's HTTP interface for callers and operators, see docs/API.md.
/// handle() may be called on any thread; all but service requests and tickets
/// is worked on by the control thread.
class Api {
public:
  Api(DaemonComponents &Components, RequestFrontend &Frontend,
      Metrics &DaemonMetrics);

  void handle(HttpRequest Request, HttpResponder Respond);
  /// Whether callers may be sent here.
  std::function<bool()> IsReady;
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
  /// Sends the request to the owner of \p Domain and passes its answer on.
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
