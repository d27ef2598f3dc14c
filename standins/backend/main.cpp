// Simulates backend servers for tests: one process serves several VMs, each
// under a path of its own.
//
// usage: standin_backend PORT VMS.json HISTORY.jsonl

#include <cstdlib>
#include <fstream>
#include <map>

#include "BackendVm.h"

using namespace cuminroad;
using namespace cuminroad::standin;

int main(int Argc, char **Argv) {
  if (Argc != 4)
    return 2;
  const auto ControlLoop = makeAsioLoop();
  HistoryFile History(Argv[3]);
  std::ifstream File(Argv[2]);
  std::map<std::string, std::unique_ptr<BackendVm>> Vms;
  for (const nlohmann::json &Spec : nlohmann::json::parse(File))
    Vms[Spec.at("id")] =
        std::make_unique<BackendVm>(Spec, *ControlLoop, History);
  return serveUntilSignal(
      std::atoi(Argv[1]), *ControlLoop,
      [&Vms](const HttpRequest &Request, const HttpResponder &Respond) {
        // Paths are /vm/ID/CALL.
        const std::size_t Start = std::string_view("/vm/").size();
        const std::size_t Slash = Request.Path.find('/', Start);
        const auto Vm =
            Slash == std::string::npos
                ? Vms.end()
                : Vms.find(Request.Path.substr(Start, Slash - Start));
        if (Vm == Vms.end())
          return respondJson(Respond, 404);
        Vm->second->handle(Request.Path.substr(Slash + 1), Request, Respond);
      });
}
