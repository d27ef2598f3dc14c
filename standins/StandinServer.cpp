#include "StandinServer.h"

#include <csignal>
#include <thread>

#include <fmt/format.h>

namespace cuminroad::standin {

void reply(const HttpResponder &Respond, int Status,
           const nlohmann::json &Body) {
  Respond(HttpResponse{Status, {}, Body.dump()});
}

History::History(const std::string &Path) {
  if (!Path.empty())
    File_ = std::fopen(Path.c_str(), "a");
}

History::~History() {
  if (File_ != nullptr)
    std::fclose(File_);
}

void History::write(nlohmann::json Line) {
  if (File_ == nullptr)
    return;
  const auto Now = std::chrono::steady_clock::now().time_since_epoch();
  Line["t"] = std::chrono::duration_cast<std::chrono::nanoseconds>(Now).count();
  fmt::print(File_, "{}\n", Line.dump());
  std::fflush(File_);
}

int serve(int Port, RunnableLoop &Home, const HttpHandler &Handler) {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  HttpServerOptions Options;
  Options.Address = "127.0.0.1";
  Options.Port = Port;
  Options.MaxBodyBytes = 64 << 20;
  const auto Server =
      startHttpServer(Options, [&](HttpRequest Request, HttpResponder Respond) {
        Home.post([&Handler, Request = std::move(Request),
                   Respond = std::move(Respond)] {
          try {
            Handler(Request, Respond);
          } catch (const nlohmann::json::exception &Fault) {
            reply(Respond, 400, {{"error", Fault.what()}});
          }
        });
      });
  std::thread Waiter([&] {
    int Signal = 0;
    sigwait(&Signals, &Signal);
    Home.stop();
  });
  Home.run();
  Waiter.join();
  return 0;
}

} // namespace cuminroad::standin
