#include "cuminroad/fleet/VmDirectory.h"

namespace cuminroad {

void VmDirectory::tableRead(std::vector<StoredRow> Rows) {
  Entries_.clear();
  Unreadable_.clear();
  for (const StoredRow &Row : Rows)
    applyRow(Row);
  Loaded_ = true;
  notifyListeners();
}

void VmDirectory::rowsChanged(std::vector<StoredRow> Rows) {
  for (const StoredRow &Row : Rows)
    applyRow(Row);
  notifyListeners();
}

void VmDirectory::applyRow(const StoredRow &Row) {
  if (Row.Removed) {
    Entries_.erase(Row.Name.Key);
    Unreadable_.erase(Row.Name.Key);
    return;
  }
  auto Entry = Formats_.decodeVm(Row.Name.Key, Row.Value);
  if (Entry) {
    Entries_[Row.Name.Key] = std::move(*Entry);
    Unreadable_.erase(Row.Name.Key);
    return;
  }
  if (Unreadable_.insert(Row.Name.Key).second)
    Events_.record(EventId::RowUnreadable, Row.Name.Key, Entry.error().text());
  Entries_.erase(Row.Name.Key);
}

int VmDirectory::addListener(std::function<void()> Listener) {
  Listeners_[++NextListener_] = std::move(Listener);
  return NextListener_;
}

void VmDirectory::notifyListeners() {
  // A listener may remove itself while it is called.
  const auto Copy = Listeners_;
  for (const auto &[Number, Listener] : Copy)
    Listener();
}

} // namespace cuminroad
