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

/// Sends a response with an HTTP status and a JSON body.
void respondJson(const HttpResponder &Respond, int Status,
                 const nlohmann::json &Body = nlohmann::json::object());

/// A file to which a simulator appends what happened, for the checks after a
/// test. Each line is a JSON object; its field "t" is the machine's monotonic
/// clock in nanoseconds, which can be compared between processes.
class HistoryFile {
public:
  /// \param Path the file to append to; if empty, nothing is written.
  explicit HistoryFile(const std::string &Path);
  ~HistoryFile();
  void write(nlohmann::json Event);

private:
  std::FILE *File_ = nullptr;
};

/// Serves HTTP on 127.0.0.1 until SIGTERM or SIGINT. The handler runs on the
/// loop's thread. \returns the exit code of the program.
int serveUntilSignal(int Port, RunnableLoop &ControlLoop,
                     const HttpHandler &Handler);

} // namespace cuminroad::standin

#endif
