#ifndef CUMINROAD_NET_SRC_CURLTRANSFER_H
#define CUMINROAD_NET_SRC_CURLTRANSFER_H

#include <memory>
#include <vector>

#include <curl/curl.h>

#include "cuminroad/net/HttpClient.h"

namespace cuminroad {

/// One HTTP call in libcurl's hands.
class CurlTransfer {
public:
  CurlTransfer(HttpCall Call, HttpCallback Done)
      : Call_(std::move(Call)), Done_(std::move(Done)) {}
  ~CurlTransfer() { curl_slist_free_all(HeaderList_); }
  CurlTransfer(const CurlTransfer &) = delete;
  CurlTransfer &operator=(const CurlTransfer &) = delete;

  /// Sets all options of the call on \p Handle. The transfer must outlive it.
  void prepare(CURL *Handle);
  /// Adds the bytes of the ended call to \p Use and judges its result.
  HttpResult finish(CURL *Handle, CURLcode Code, HttpTraffic &Use);
  void done(HttpResult Outcome) { Done_(std::move(Outcome)); }

private:
  static size_t takeBody(char *Data, size_t Size, size_t Count, void *User);
  static size_t takeHeaderLine(char *Data, size_t Size, size_t Count,
                               void *User);
  void takeHeader(std::string_view Line);
  HttpResult judge(CURLcode Code, bool WasSent);

  HttpCall Call_;
  HttpCallback Done_;
  HttpResponse Answer_;
  curl_slist *HeaderList_ = nullptr;
};

/// Easy handles that are kept for the next call.
class CurlHandlePool {
public:
  CurlHandlePool() = default;
  ~CurlHandlePool();
  CurlHandlePool(const CurlHandlePool &) = delete;
  CurlHandlePool &operator=(const CurlHandlePool &) = delete;
  CURL *take();
  void put(CURL *Handle) { Idle_.push_back(Handle); }

private:
  std::vector<CURL *> Idle_;
};

} // namespace cuminroad

#endif
