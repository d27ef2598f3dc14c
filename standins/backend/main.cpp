// Stand-in for backend servers: one process plays several VMs, each below its
// own path.
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
  const auto Home = makeAsioLoop();
  History Log(Argv[3]);
  std::ifstream File(Argv[2]);
  std::map<std::string, std::unique_ptr<BackendVm>> Vms;
  for (const nlohmann::json &Spec : nlohmann::json::parse(File))
    Vms[Spec.at("id")] = std::make_unique<BackendVm>(Spec, *Home, Log);
  return serve(
      std::atoi(Argv[1]), *Home,
      [&Vms](const HttpRequest &Request, const HttpResponder &Respond) {
        // Paths are /vm/ID/CALL.
        const std::size_t Start = std::string_view("/vm/").size();
        const std::size_t Slash = Request.Path.find('/', Start);
        const auto Found =
            Slash == std::string::npos
                ? Vms.end()
                : Vms.find(Request.Path.substr(Start, Slash - Start));
        if (Found == Vms.end())
          return reply(Respond, 404);
        Found->second->handle(Request.Path.substr(Slash + 1), Request, Respond);
      });
}
