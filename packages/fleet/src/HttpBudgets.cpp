#include "cuminroad/fleet/HttpBudgets.h"

#include <algorithm>

namespace cuminroad {

namespace {

constexpr std::size_t BytesPerMegabyte = 1 << 20;
/// Used where the settings have no limits.
constexpr int DefaultMemoryMb = 2048;
constexpr int DefaultMaxDescriptors = 32768;
/// Largest body between daemons is 1.5 MB.
constexpr std::size_t MaxPeerBodyBytes = 2 << 20;

/// The part of a server in the daemon's memory and descriptors.
struct Part {
  int MemoryDivisor;
  int DescriptorDivisor;
  /// A server can't work with less: the memory holds one request with the
  /// largest head of short fields and the largest body, twice.
  std::size_t MinBytes;
  std::size_t MinConnections;
};

// Less than half of the memory and descriptors in all. The rest is for the
// daemon's own state and calls, and for files. 400 descriptors give 187
// connections; 3,075 give 1,438.
Part partOf(ServerRole Role) {
  switch (Role) {
  case ServerRole::Frontend:
    return {5, 4, 4 << 20, 32};
  case ServerRole::Readiness:
    return {24, 16, 2 << 20, 16};
  case ServerRole::Peers:
    return {6, 8, 6 << 20, 32};
  case ServerRole::Metrics:
    return {24, 32, 2 << 20, 8};
  }
  return {24, 32, 2 << 20, 8};
}

} // namespace

std::string_view serverRoleName(ServerRole Role) {
  switch (Role) {
  case ServerRole::Frontend:
    return "front";
  case ServerRole::Readiness:
    return "ready";
  case ServerRole::Peers:
    return "peers";
  case ServerRole::Metrics:
    return "metrics";
  }
  return "unknown";
}

HttpBudget makeHttpBudget(ServerRole Role, const FleetSettings &Settings,
                          const QueueConfig &Config) {
  const Part Share = partOf(Role);
  const auto MemoryMb = static_cast<std::size_t>(
      Settings.MemoryMb > 0 ? Settings.MemoryMb : DefaultMemoryMb);
  const auto Descriptors = static_cast<std::size_t>(
      Settings.MaxDescriptors > 0 ? Settings.MaxDescriptors
                                  : DefaultMaxDescriptors);
  const std::size_t Bytes = MemoryMb * BytesPerMegabyte /
                            static_cast<std::size_t>(Share.MemoryDivisor);
  const std::size_t Connections =
      Descriptors / static_cast<std::size_t>(Share.DescriptorDivisor);
  HttpBudget Out;
  Out.Raised = Bytes < Share.MinBytes || Connections < Share.MinConnections;
  Out.Limits.MaxHeldBytes = std::max(Bytes, Share.MinBytes);
  Out.Limits.MaxConnections = std::max(Connections, Share.MinConnections);
  if (Role == ServerRole::Peers || Role == ServerRole::Metrics) {
    Out.Limits.MaxBodyBytes = MaxPeerBodyBytes;
    return Out;
  }
  Out.Limits.MaxBodyBytes = Config.MaxBodyBytes;
  Out.Limits.MaxHeadBytes = Config.MaxHeaderBytes;
  Out.Limits.HeadTimeout = Config.HeaderTimeout;
  Out.Limits.IdleTimeout = Config.IdleTimeout;
  return Out;
}

} // namespace cuminroad
