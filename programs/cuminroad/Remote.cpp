#include "Remote.h"

#include <future>

namespace cuminroad::cli {

namespace {

constexpr milliseconds CallTimeout{35000};

} // namespace

nlohmann::json Reply::json() const {
  return nlohmann::json::parse(Body, nullptr, false);
}

Remote::Remote(std::vector<std::string> Servers, std::string Token)
    : Servers_(std::move(Servers)), Token_(std::move(Token)),
      Client_(makeHttpClient()) {}

Result<Reply> Remote::callAt(const std::string &Server,
                             const std::string &Method, const std::string &Path,
                             const std::string &Body, HttpHeaders Headers) {
  HttpCall Call;
  Call.Method = Method;
  Call.Url = "http://" + Server + Path;
  Call.Body = Body;
  Call.Headers = std::move(Headers);
  if (!Token_.empty())
    Call.Headers.emplace_back("Authorization", "Bearer " + Token_);
  Call.Timeout = CallTimeout;
  Call.NeverResend = true;
  auto Promise = std::make_shared<std::promise<HttpResult>>();
  std::future<HttpResult> Answer = Promise->get_future();
  Client_->send(std::move(Call), [Promise](HttpResult Got) {
    Promise->set_value(std::move(Got));
  });
  return Answer.get().map([](const HttpResponse &Got) {
    return Reply{Got.Status, std::string(findHeader(Got.Headers, "X-Outcome")),
                 Got.Body};
  });
}

Result<Reply> Remote::call(const std::string &Method, const std::string &Path,
                           const std::string &Body, HttpHeaders Headers) {
  Result<Reply> Last = failure(ErrorCode::ConnectFailed, "no server given");
  for (const std::string &Server : Servers_) {
    Last = callAt(Server, Method, Path, Body, Headers);
    if (Last || Last.error().Code != ErrorCode::ConnectFailed)
      return Last;
  }
  return Last;
}

} // namespace cuminroad::cli
