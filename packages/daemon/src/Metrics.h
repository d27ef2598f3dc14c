#ifndef CUMINROAD_DAEMON_SRC_METRICS_H
#define CUMINROAD_DAEMON_SRC_METRICS_H

#include <string>

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "DaemonComponents.h"

namespace cuminroad {

/// Bytes of messages between daemons.
struct PeerTraffic {
  std::uint64_t Sent = 0;
  std::uint64_t Received = 0;
};

/// The daemon's metrics, by Prometheus's naming conventions.
class Metrics {
public:
  Metrics();
  /// Notes how long a request waited for its slot.
  void observeStartWait(double Milliseconds);
  /// \returns the text exposition of all metrics. Call on the control thread.
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
