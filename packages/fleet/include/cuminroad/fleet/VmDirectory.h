#ifndef CUMINROAD_FLEET_VMDIRECTORY_H
#define CUMINROAD_FLEET_VMDIRECTORY_H

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cuminroad/base/EventLog.h"
#include "cuminroad/fleet/PlatformFormats.h"
#include "cuminroad/fleet/VmEntry.h"
#include "cuminroad/store/TableFollower.h"

namespace cuminroad {

/// The VMs that have registered, as last read from the store. Entries that
/// can't be decoded are left out.
class VmDirectory final : public RowSink {
public:
  VmDirectory(const PlatformFormats &Formats, EventLog &Events)
      : Formats_(Formats), Events_(Events) {}

  void tableRead(std::vector<StoredRow> Rows) override;
  void rowsChanged(std::vector<StoredRow> Rows) override;

  const std::map<std::string, VmEntry> &entries() const { return Entries_; }
  bool loaded() const { return Loaded_; }
  /// Discards the entries when they are no longer kept up to date.
  void clear() {
    Entries_.clear();
    Unreadable_.clear();
    Loaded_ = false;
  }
  /// Adds a listener that is called after each change. \returns the number to
  /// pass to removeListener().
  int addListener(std::function<void()> Listener);
  void removeListener(int Number) { Listeners_.erase(Number); }

private:
  void applyRow(const StoredRow &Row);
  void notifyListeners();

  const PlatformFormats &Formats_;
  EventLog &Events_;
  std::map<std::string, VmEntry> Entries_;
  /// Keys of the rows that can't be decoded. They are logged once, since their
  /// writers may rewrite them with each heartbeat.
  std::set<std::string> Unreadable_;
  std::map<int, std::function<void()>> Listeners_;
  int NextListener_ = 0;
  bool Loaded_ = false;
};

} // namespace cuminroad

#endif
