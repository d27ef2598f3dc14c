#include "Metrics.h"

#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>

namespace cuminroad {

namespace {

constexpr double MillisPerSecond = 1000.0;

prometheus::Histogram &makeStartWait(prometheus::Registry &Registry) {
  return prometheus::BuildHistogram()
      .Name("cuminroad_request_start_wait_seconds")
      .Help("Time from a request's arrival until it was sent.")
      .Register(Registry)
      .Add({}, prometheus::Histogram::BucketBoundaries{
                   0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.1, 0.5, 1, 5});
}

} // namespace

Metrics::Metrics() : StartWait_(makeStartWait(Registry_)) {}

void Metrics::observeStartWait(double Milliseconds) {
  StartWait_.Observe(Milliseconds / MillisPerSecond);
}

void Metrics::setGauge(const char *Name, const char *Help, double Value) {
  prometheus::BuildGauge()
      .Name(Name)
      .Help(Help)
      .Register(Registry_)
      .Add({})
      .Set(Value);
}

std::string Metrics::render(const DaemonComponents &Components,
                            const RequestFrontend &Frontend,
                            const PeerTraffic &PeerMessages) {
  const RequestOutcomeCounts Outcomes = Frontend.outcomeCounts();
  const TableOperationCounts TableCalls =
      Components.PlatformTable.operationCounts();
  const HttpTraffic ControlTraffic = Components.ControlClient->traffic();
  const auto Number = [](auto Value) { return static_cast<double>(Value); };
  setGauge("cuminroad_requests_done_total", "Requests answered whole.",
           Number(Outcomes.Done));
  setGauge("cuminroad_requests_not_run_total", "Requests certainly not run.",
           Number(Outcomes.NotRun));
  setGauge("cuminroad_requests_unknown_total",
           "Requests that may have run without an answer.",
           Number(Outcomes.Unknown));
  setGauge("cuminroad_request_retries_total", "Requests sent again.",
           Number(Outcomes.Retries));
  setGauge("cuminroad_requests_waiting", "Requests that wait for a slot.",
           Number(Frontend.waitingRequests()));
  setGauge("cuminroad_owner", "1 while this daemon owns its failure domain.",
           Components.LocalOwner ? 1.0 : 0.0);
  setGauge("cuminroad_owner_epoch", "The newest epoch known.",
           Number(Components.DomainOwnership.owner().Epoch));
  setGauge("cuminroad_store_reachable", "1 while the platform's table answers.",
           Components.RetryingTable.reachable() ? 1.0 : 0.0);
  setGauge("cuminroad_config_version", "Version of the configuration applied.",
           Number(Components.SharedConfig.appliedVersion()));
  setGauge("cuminroad_table_writes_total", "Transactions sent to the table.",
           Number(TableCalls.Writes));
  setGauge("cuminroad_table_reads_total", "Reads sent to the table.",
           Number(TableCalls.Reads));
  setGauge("cuminroad_control_sent_bytes_total",
           "Bytes of control calls over HTTP sent.",
           Number(ControlTraffic.BytesSent));
  setGauge("cuminroad_control_received_bytes_total",
           "Bytes of control calls over HTTP received.",
           Number(ControlTraffic.BytesReceived));
  setGauge("cuminroad_peer_sent_bytes_total",
           "Bytes of messages sent to other daemons.",
           Number(PeerMessages.Sent));
  setGauge("cuminroad_peer_received_bytes_total",
           "Bytes of messages received from other daemons.",
           Number(PeerMessages.Received));
  if (Components.LocalOwner)
    setGauge("cuminroad_jobs", "Unfinished jobs of the domain.",
             Number(Components.LocalOwner->jobs().size()));
  return prometheus::TextSerializer().Serialize(Registry_.Collect());
}

} // namespace cuminroad
