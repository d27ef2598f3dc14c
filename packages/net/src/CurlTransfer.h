#ifndef CUMINROAD_NET_SRC_CURLTRANSFER_H
#define CUMINROAD_NET_SRC_CURLTRANSFER_H

#include <memory>
#include <vector>

#include <curl/curl.h>

#include "cuminroad/net/HttpClient.h"

namespace cuminroad {

/// One HTTP call that libcurl carries out, with the response received so far.
class CurlTransfer {
public:
  CurlTransfer(HttpCall Call, HttpCallback Done)
      : Call_(std::move(Call)), Done_(std::move(Done)) {}
  ~CurlTransfer() { curl_slist_free_all(HeaderList_); }
  CurlTransfer(const CurlTransfer &) = delete;
  CurlTransfer &operator=(const CurlTransfer &) = delete;

  /// Sets on a new \p Handle the options that are the same for all calls.
  static void prepare(CURL *Handle);
  /// Sets all other options on \p Handle, which may have had a call. This
  /// object must live until the handle is removed from libcurl's multi handle.
  void configure(CURL *Handle);
  /// Lets libcurl end the transfer at its timeouts. Otherwise the caller does.
  void setTimeouts(CURL *Handle) const;
  /// \returns whether any of the request has been sent on \p Handle.
  static bool isSent(CURL *Handle);
  milliseconds connectTimeout() const { return Call_.ConnectTimeout; }
  milliseconds timeout() const { return Call_.Timeout; }
  /// Adds the bytes sent and received to \p Traffic.
  /// \returns the result of the transfer, which has ended with \p Code.
  HttpResult takeResult(CURL *Handle, CURLcode Code, HttpTraffic &Traffic);
  void complete(HttpResult Outcome) { Done_(std::move(Outcome)); }

private:
  static size_t writeCallback(char *Data, size_t Size, size_t Count,
                              void *Transfer);
  /// Called before the request is sent, and again before it is resent.
  static int sendCallback(void *Transfer, char *, char *, int, int);
  /// Records that the request is about to be sent.
  /// \returns whether it may be.
  bool recordSend();
  static size_t headerCallback(char *Data, size_t Size, size_t Count,
                               void *Transfer);
  void parseHeaderLine(std::string_view Line);
  HttpResult makeResult(CURLcode Code, bool WasSent);

  HttpCall Call_;
  HttpCallback Done_;
  HttpResponse Response_;
  CURL *Handle_ = nullptr;
  /// Copies of the request that were sent, at least in part.
  int Sends_ = 0;
  bool ResendPrevented_ = false;
  curl_slist *HeaderList_ = nullptr;
};

/// libcurl easy handles that are prepared, and reused for later calls.
class CurlHandlePool {
public:
  CurlHandlePool() = default;
  ~CurlHandlePool();
  CurlHandlePool(const CurlHandlePool &) = delete;
  CurlHandlePool &operator=(const CurlHandlePool &) = delete;
  CURL *acquire();
  void release(CURL *Handle) { IdleHandles_.push_back(Handle); }

private:
  std::vector<CURL *> IdleHandles_;
};

} // namespace cuminroad

#endif
