#ifndef CUMINROAD_STORE_VMLIST_H
#define CUMINROAD_STORE_VMLIST_H

#include <functional>
#include <string>
#include <vector>

#include "cuminroad/net/HttpClient.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/scheduling/VmSpec.h"

namespace cuminroad {

/// What the platform says of a VM. Gone is final.
enum class ListedState { Live, Leaving, Gone };

/// A backend server's VM on the platform's list.
struct ListedVm {
  VmSpec Spec;
  ListedState State = ListedState::Live;
};

/// The platform's list of VMs, which lags behind the truth.
struct VmListing {
  std::vector<ListedVm> Vms;
  /// Names of daemons whose entry VM is finally gone.
  std::vector<std::string> GoneDaemons;
};

/// Reads the platform's list of VMs.
class VmList {
public:
  using ReadDone = std::function<void(Result<VmListing>)>;
  virtual ~VmList() = default;
  /// \param Domain lists the VMs of this failure domain only.
  virtual void read(std::string Domain, ReadDone Done) = 0;
};

/// The list over HTTP. Results come on the thread of \p ControlLoop; all
/// arguments must outlive the list.
std::unique_ptr<VmList> makeHttpVmList(std::string BaseUrl, HttpClient &Client,
                                       Loop &ControlLoop);

} // namespace cuminroad

#endif
