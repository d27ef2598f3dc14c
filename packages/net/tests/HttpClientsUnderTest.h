#ifndef CUMINROAD_NET_TESTS_HTTPCLIENTSUNDERTEST_H
#define CUMINROAD_NET_TESTS_HTTPCLIENTSUNDERTEST_H

#include <future>
#include <thread>
#include <tuple>

#include "cuminroad/net/LoopHttp.h"

namespace cuminroad {

/// A client on a loop that runs on a thread of its own.
class LoopThreadHttpClient final : public HttpClient {
public:
  LoopThreadHttpClient()
      : Loop_(makeAsioLoop()), Client_(makeLoopHttpClient(*Loop_)),
        Thread_([this] { Loop_->run(); }) {}

  ~LoopThreadHttpClient() override {
    Loop_->post([this] {
      Client_.reset();
      // Whatever the client has left to do on the loop runs before the end.
      Loop_->post([this] { Loop_->stop(); });
    });
    Thread_.join();
  }

  void send(HttpCall Call, HttpCallback Done) override {
    Loop_->post([this, Call = std::move(Call), Done = std::move(Done)] {
      Client_->send(Call, Done);
    });
  }

  HttpTraffic traffic() const override {
    std::promise<HttpTraffic> Traffic;
    Loop_->post([&] { Traffic.set_value(Client_->traffic()); });
    return Traffic.get_future().get();
  }

private:
  std::unique_ptr<RunnableLoop> Loop_;
  std::unique_ptr<HttpClient> Client_;
  std::thread Thread_;
};

struct ClientWithThread {
  static std::unique_ptr<HttpClient> make() { return makeHttpClient(); }
};

struct ClientOnLoop {
  static std::unique_ptr<HttpClient> make() {
    return std::make_unique<LoopThreadHttpClient>();
  }
};

/// The kinds of clients; each must pass the same tests.
using ClientKinds = std::tuple<ClientWithThread, ClientOnLoop>;

} // namespace cuminroad

#endif
