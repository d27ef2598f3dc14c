#ifndef CUMINROAD_STANDINS_STANDINSERVER_H
#define CUMINROAD_STANDINS_STANDINSERVER_H

#include <cstdio>
#include <functional>
#include <string>

#include <nlohmann/json.hpp>

#include "cuminroad/base/SteadyClock.h"
#include "cuminroad/net/HttpServer.h"
#include "cuminroad/net/Loop.h"

namespace cuminroad::standin {

/// Answers with a status and a JSON body.
void respondJson(const HttpResponder &Respond, int Status,
                 const nlohmann::json &Body = nlohmann::json::object());

/// Appends what a stand-in saw to a file, a JSON object a line, stamped with
/// the machine's monotonic nanoseconds, which all processes share.
class HistoryFile {
public:
  explicit HistoryFile(const std::string &Path);
  ~HistoryFile();
  void write(nlohmann::json Event);

private:
  std::FILE *File_ = nullptr;
};

/// Serves on 127.0.0.1 until SIGTERM; the handler runs on the loop's thread.
int serveUntilSignal(int Port, RunnableLoop &ControlLoop,
                     const HttpHandler &Handler);

} // namespace cuminroad::standin

#endif
