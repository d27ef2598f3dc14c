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

std::string Metrics::render(const DaemonParts &Parts, const FrontDoor &Door,
                            const PeerTraffic &Peers) {
  const FrontDoorCounts Counts = Door.counts();
  const TableOperationCounts Use = Parts.PlainTable.operationCounts();
  const HttpTraffic Traffic = Parts.ControlClient->traffic();
  const auto Number = [](auto Value) { return static_cast<double>(Value); };
  setGauge("cuminroad_requests_done_total", "Requests answered whole.",
           Number(Counts.Done));
  setGauge("cuminroad_requests_not_run_total", "Requests certainly not run.",
           Number(Counts.NotRun));
  setGauge("cuminroad_requests_unknown_total",
           "Requests that may have run without an answer.",
           Number(Counts.Unknown));
  setGauge("cuminroad_request_retries_total", "Requests sent again.",
           Number(Counts.Retries));
  setGauge("cuminroad_requests_waiting", "Requests that wait for a slot.",
           Number(Door.waiting()));
  setGauge("cuminroad_owner", "1 while this daemon owns its failure domain.",
           Parts.Domain ? 1.0 : 0.0);
  setGauge("cuminroad_owner_epoch", "The newest epoch known.",
           Number(Parts.Owners.owner().Epoch));
  setGauge("cuminroad_store_reachable", "1 while the platform's table answers.",
           Parts.Rows.reachable() ? 1.0 : 0.0);
  setGauge("cuminroad_config_version", "Version of the configuration applied.",
           Number(Parts.Keeper.appliedVersion()));
  setGauge("cuminroad_table_writes_total", "Transactions sent to the table.",
           Number(Use.Writes));
  setGauge("cuminroad_table_reads_total", "Reads sent to the table.",
           Number(Use.Reads));
  setGauge("cuminroad_control_sent_bytes_total",
           "Bytes of control calls over HTTP sent.", Number(Traffic.BytesSent));
  setGauge("cuminroad_control_received_bytes_total",
           "Bytes of control calls over HTTP received.",
           Number(Traffic.BytesReceived));
  setGauge("cuminroad_peer_sent_bytes_total",
           "Bytes of messages sent to other daemons.", Number(Peers.Sent));
  setGauge("cuminroad_peer_received_bytes_total",
           "Bytes of messages received from other daemons.",
           Number(Peers.Received));
  if (Parts.Domain)
    setGauge("cuminroad_jobs", "Unfinished jobs of the domain.",
             Number(Parts.Domain->jobs().size()));
  return prometheus::TextSerializer().Serialize(Registry_.Collect());
}

} // namespace cuminroad
