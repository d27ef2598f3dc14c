#ifndef CUMINROAD_STORE_VMLIST_H
#define CUMINROAD_STORE_VMLIST_H

#include <functional>
#include <string>
#include <vector>

#include "cuminroad/net/HttpClient.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/scheduling/VmSpec.h"

namespace cuminroad {

/// State of a VM as listed by the platform. Gone is final.
enum class ListedState { Live, Leaving, Gone };

/// A backend server's VM in the platform's list.
struct ListedVm {
  VmSpec Spec;
  ListedState State = ListedState::Live;
};

/// The platform's list of VMs; it may be out of date.
struct VmListing {
  std::vector<ListedVm> Vms;
  /// Names of the daemons whose entry VM is permanently gone.
  std::vector<std::string> GoneDaemons;
};

/// Reads the platform's list of VMs.
class VmList {
public:
  using ReadDone = std::function<void(Result<VmListing>)>;
  virtual ~VmList() = default;
  /// \param Domain the failure domain whose VMs are listed.
  virtual void read(std::string Domain, ReadDone Done) = 0;
};

/// Reads the list over HTTP. Callbacks run on the thread of \p ControlLoop.
/// \p Client and \p ControlLoop must outlive the list.
std::unique_ptr<VmList> makeHttpVmList(std::string BaseUrl, HttpClient &Client,
                                       Loop &ControlLoop);

} // namespace cuminroad

#endif
