#ifndef CUMINROAD_DAEMON_SRC_METRICS_H
#define CUMINROAD_DAEMON_SRC_METRICS_H

#include <string>

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "DaemonComponents.h"

namespace cuminroad {

/// Traffic of messages between daemons, in bytes.
struct PeerTraffic {
  std::uint64_t Sent = 0;
  std::uint64_t Received = 0;
};

/// The daemon's metrics in the Prometheus format.
class Metrics {
public:
  Metrics();
  /// Records the time from a request's arrival until it was first sent.
  void observeStartWait(double Milliseconds);
  /// \returns all metrics in the Prometheus text format. Call on the control
  /// thread.
  std::string render(const DaemonComponents &Components,
                     const RequestFrontend &Frontend,
                     const PeerTraffic &PeerMessages);

private:
  void setGauge(const char *Name, const char *Help, double Value);

  prometheus::Registry Registry_;
  prometheus::Histogram &StartWait_;
};

} // namespace cuminroad

#endif
