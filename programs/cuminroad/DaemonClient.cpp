#include "DaemonClient.h"

#include <future>

namespace cuminroad::cli {

namespace {

constexpr milliseconds CallTimeout{35000};

} // namespace

nlohmann::json DaemonResponse::json() const {
  return nlohmann::json::parse(Body, nullptr, false);
}

DaemonClient::DaemonClient(std::vector<std::string> Servers, std::string Token)
    : Servers_(std::move(Servers)), Token_(std::move(Token)),
      Client_(makeHttpClient()) {}

Result<DaemonResponse> DaemonClient::callServer(const std::string &Server,
                                                const std::string &Method,
                                                const std::string &Path,
                                                const std::string &Body,
                                                HttpHeaders Headers) {
  HttpCall Call;
  Call.Method = Method;
  Call.Url = "http://" + Server + Path;
  Call.Body = Body;
  Call.Headers = std::move(Headers);
  if (!Token_.empty())
    Call.Headers.emplace_back("Authorization", "Bearer " + Token_);
  Call.Timeout = CallTimeout;
  Call.FreshConnection = true;
  auto Promise = std::make_shared<std::promise<HttpResult>>();
  std::future<HttpResult> Response = Promise->get_future();
  Client_->send(std::move(Call), [Promise](HttpResult Received) {
    Promise->set_value(std::move(Received));
  });
  return Response.get().map([](const HttpResponse &Received) {
    return DaemonResponse{
        Received.Status, std::string(findHeader(Received.Headers, "X-Outcome")),
        Received.Body};
  });
}

Result<DaemonResponse> DaemonClient::call(const std::string &Method,
                                          const std::string &Path,
                                          const std::string &Body,
                                          HttpHeaders Headers) {
  Result<DaemonResponse> Last =
      failure(ErrorCode::ConnectFailed, "no server given");
  for (const std::string &Server : Servers_) {
    Last = callServer(Server, Method, Path, Body, Headers);
    if (Last || !isNotSent(Last.error().Code))
      return Last;
  }
  return Last;
}

} // namespace cuminroad::cli
