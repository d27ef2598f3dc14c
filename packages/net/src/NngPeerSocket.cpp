#include "cuminroad/net/PeerSocket.h"

#include <atomic>
#include <map>
#include <stdexcept>

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace cuminroad {

namespace {

constexpr nng_duration ReconnectMinMs = 50;
constexpr nng_duration ReconnectMaxMs = 1000;
constexpr std::size_t MaxMessageBytes = 4 << 20;

void throwOnError(int Code, const char *Action) {
  if (Code != 0)
    throw std::runtime_error(std::string(Action) + ": " + nng_strerror(Code));
}

/// Receives on one pull socket, and sends on a push socket for each peer.
class NngPeerSocket final : public PeerSocket {
public:
  NngPeerSocket(const std::string &Address, PeerHandler Handler)
      : Handler_(std::move(Handler)) {
    throwOnError(nng_pull0_open(&PullSocket_), "open peer socket");
    throwOnError(
        nng_socket_set_size(PullSocket_, NNG_OPT_RECVMAXSZ, MaxMessageBytes),
        "set peer message size");
    throwOnError(
        nng_listen(PullSocket_, ("tcp://" + Address).c_str(), nullptr, 0),
        "listen for peers");
    throwOnError(nng_aio_alloc(&ReceiveOperation_, receiveCallback, this),
                 "allocate receive operation");
    nng_recv_aio(PullSocket_, ReceiveOperation_);
  }

  ~NngPeerSocket() override {
    nng_aio_stop(ReceiveOperation_);
    nng_aio_free(ReceiveOperation_);
    nng_close(PullSocket_);
    for (const auto &[Address, Socket] : PushSockets_)
      nng_close(Socket);
  }

  void send(const std::string &Address, std::string_view Bytes) override {
    const nng_socket Socket = connect(Address);
    nng_msg *Message = nullptr;
    if (nng_msg_alloc(&Message, 0) != 0)
      return;
    nng_msg_append(Message, Bytes.data(), Bytes.size());
    if (nng_sendmsg(Socket, Message, NNG_FLAG_NONBLOCK) != 0) {
      nng_msg_free(Message);
      return;
    }
    BytesSent_ += Bytes.size();
  }

  std::uint64_t bytesSent() const override { return BytesSent_; }

private:
  nng_socket connect(const std::string &Address) {
    const auto Found = PushSockets_.find(Address);
    if (Found != PushSockets_.end())
      return Found->second;
    nng_socket Socket;
    throwOnError(nng_push0_open(&Socket), "open push socket");
    nng_socket_set_ms(Socket, NNG_OPT_RECONNMINT, ReconnectMinMs);
    nng_socket_set_ms(Socket, NNG_OPT_RECONNMAXT, ReconnectMaxMs);
    nng_dial(Socket, ("tcp://" + Address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    PushSockets_.emplace(Address, Socket);
    return Socket;
  }

  static void receiveCallback(void *Socket) {
    static_cast<NngPeerSocket *>(Socket)->onReceived();
  }

  void onReceived() {
    if (nng_aio_result(ReceiveOperation_) != 0)
      return;
    nng_msg *Message = nng_aio_get_msg(ReceiveOperation_);
    Handler_(std::string(static_cast<const char *>(nng_msg_body(Message)),
                         nng_msg_len(Message)));
    nng_msg_free(Message);
    nng_recv_aio(PullSocket_, ReceiveOperation_);
  }

  PeerHandler Handler_;
  nng_socket PullSocket_{};
  nng_aio *ReceiveOperation_ = nullptr;
  std::map<std::string, nng_socket> PushSockets_;
  std::atomic<std::uint64_t> BytesSent_{0};
};

} // namespace

std::unique_ptr<PeerSocket> openPeerSocket(const std::string &Address,
                                           PeerHandler Handler) {
  return std::make_unique<NngPeerSocket>(Address, std::move(Handler));
}

} // namespace cuminroad
