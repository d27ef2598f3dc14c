#include "StandinServer.h"

#include <csignal>
#include <thread>

#include <fmt/format.h>

namespace cuminroad::standin {

void respondJson(const HttpResponder &Respond, int Status,
                 const nlohmann::json &Body) {
  Respond(HttpResponse{Status, {}, Body.dump()});
}

HistoryFile::HistoryFile(const std::string &Path) {
  if (!Path.empty())
    File_ = std::fopen(Path.c_str(), "a");
}

HistoryFile::~HistoryFile() {
  if (File_ != nullptr)
    std::fclose(File_);
}

void HistoryFile::write(nlohmann::json Event) {
  if (File_ == nullptr)
    return;
  const auto Now = std::chrono::steady_clock::now().time_since_epoch();
  Event["t"] =
      std::chrono::duration_cast<std::chrono::nanoseconds>(Now).count();
  fmt::print(File_, "{}\n", Event.dump());
  std::fflush(File_);
}

int serveUntilSignal(int Port, RunnableLoop &ControlLoop,
                     const HttpHandler &Handler) {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  HttpServerOptions Options;
  Options.Address = "127.0.0.1";
  Options.Port = Port;
  Options.Limits.MaxBodyBytes = 64 << 20;
  const auto Server =
      startHttpServer(Options, [&](HttpRequest Request, HttpResponder Respond) {
        ControlLoop.post([&Handler, Request = std::move(Request),
                          Respond = std::move(Respond)] {
          try {
            Handler(Request, Respond);
          } catch (const nlohmann::json::exception &Exception) {
            respondJson(Respond, 400, {{"error", Exception.what()}});
          }
        });
      });
  std::thread SignalThread([&] {
    int Signal = 0;
    sigwait(&Signals, &Signal);
    ControlLoop.stop();
  });
  ControlLoop.run();
  SignalThread.join();
  return 0;
}

} // namespace cuminroad::standin
