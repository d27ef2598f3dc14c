#ifndef CUMINROAD_NET_REQUESTMETER_H
#define CUMINROAD_NET_REQUESTMETER_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cuminroad {

/// Estimates the memory that the HTTP library needs for the request that a
/// connection is receiving. Follows the framing of HTTP/1.1 requests without
/// storing them, and never decides what a request means.
class RequestMeter {
public:
  /// Whether the bytes may be given to the parser.
  enum class Verdict { Accepted, HeadTooLarge, BodyTooLarge };

  /// Memory of the library for a header field, besides its text: 72 bytes in a
  /// vector that grows by doubling.
  static constexpr std::size_t FieldCost = 160;
  /// Memory of the library for a chunk of a body, besides its bytes: 16 bytes
  /// in a vector that grows by doubling.
  static constexpr std::size_t ChunkCost = 32;

  /// Follows \p Bytes, which continue those of the earlier calls. The request
  /// line and all fields each have at most \p MaxHeadBytes; the body has at
  /// most \p MaxBodyBytes. After another verdict than Accepted, the connection
  /// must be closed.
  Verdict consume(std::string_view Bytes, std::size_t MaxHeadBytes,
                  std::size_t MaxBodyBytes);
  /// \returns the memory for the request that is not complete yet, in bytes.
  std::size_t weight() const;
  /// \returns whether a request has begun and is not complete.
  bool inRequest() const { return Part_ != Part::Start; }
  bool inBody() const { return Part_ > Part::Fields; }
  /// \returns the number of complete requests so far.
  std::uint64_t completed() const { return Completed_; }
  /// \returns whether the framing could be followed so far. The parser rejects
  /// most requests for which it could not.
  bool isCertain() const { return Certain_; }

private:
  enum class Part {
    Start,
    RequestLine,
    Fields,
    Body,
    ChunkSize,
    Chunk,
    ChunkEnd,
    Trailers
  };

  /// Follows a part that consists of lines; \returns the bytes consumed.
  std::size_t consumeLine(std::string_view Bytes);
  void lineEnded();
  void fieldEnded();
  void headEnded();
  void chunkSizeEnded();
  void requestEnded();
  /// \returns the beginning of the current line, without its end.
  std::string_view line() const;

  Part Part_ = Part::Start;
  /// The beginning of the current line. Longer lines are of no interest.
  std::array<char, 64> Line_{};
  std::size_t LineBytes_ = 0;
  std::size_t HeadBytes_ = 0;
  std::size_t RequestLineBytes_ = 0;
  std::size_t Fields_ = 0;
  std::size_t Chunks_ = 0;
  std::size_t BodyBytes_ = 0;
  /// Bytes of the body or chunk that have not arrived.
  std::uint64_t Expected_ = 0;
  /// Size of the body as announced, including all chunks so far.
  std::uint64_t Announced_ = 0;
  std::uint64_t Completed_ = 0;
  bool Chunked_ = false;
  /// Whether the method is CONNECT.
  bool Tunnel_ = false;
  bool Certain_ = true;
};

} // namespace cuminroad

#endif
