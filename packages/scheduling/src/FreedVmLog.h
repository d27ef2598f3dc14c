#ifndef CUMINROAD_SCHEDULING_SRC_FREEDVMLOG_H
#define CUMINROAD_SCHEDULING_SRC_FREEDVMLOG_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace cuminroad {

/// The VMs whose free capacity grew, in order. A job that fitted on no VM at
/// one position needs to try only the VMs appended since.
class FreedVmLog {
public:
  /// Appends a VM whose free capacity grew. A full log is cleared first.
  void append(int Vm) {
    if (Entries_.size() >= MaxEntries) {
      FirstPosition_ += Entries_.size();
      Entries_.clear();
    }
    Entries_.push_back(Vm);
  }
  /// \returns the position behind the last entry.
  std::uint64_t endPosition() const { return FirstPosition_ + Entries_.size(); }
  /// \returns the VMs appended from \p Position on, with duplicates, or nothing
  /// where those entries were cleared. Valid until the next append().
  std::optional<std::span<const int>>
  entriesSince(std::uint64_t Position) const {
    if (Position < FirstPosition_)
      return std::nullopt;
    return std::span(Entries_).subspan(Position - FirstPosition_);
  }

private:
  static constexpr std::size_t MaxEntries = 4096;
  std::uint64_t FirstPosition_ = 0;
  std::vector<int> Entries_;
};

} // namespace cuminroad

#endif
