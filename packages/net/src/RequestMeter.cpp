#include "cuminroad/net/RequestMeter.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <limits>

namespace cuminroad {

namespace {

constexpr int HexadecimalBase = 16;

char toLower(char Character) {
  return Character >= 'A' && Character <= 'Z'
             ? static_cast<char>(Character - 'A' + 'a')
             : Character;
}

bool equalsIgnoringCase(std::string_view Text, std::string_view Lowercase) {
  return std::equal(
      Text.begin(), Text.end(), Lowercase.begin(), Lowercase.end(),
      [](char Left, char Right) { return toLower(Left) == Right; });
}

bool endsWithIgnoringCase(std::string_view Text, std::string_view Lowercase) {
  return Text.size() >= Lowercase.size() &&
         equalsIgnoringCase(Text.substr(Text.size() - Lowercase.size()),
                            Lowercase);
}

std::string_view trim(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

} // namespace

RequestMeter::Verdict RequestMeter::consume(std::string_view Bytes,
                                            std::size_t MaxHeadBytes,
                                            std::size_t MaxBodyBytes) {
  while (!Bytes.empty()) {
    std::size_t Used = 0;
    if (Part_ == Part::Body || Part_ == Part::Chunk) {
      Used = static_cast<std::size_t>(
          std::min<std::uint64_t>(Expected_, Bytes.size()));
      Expected_ -= Used;
      BodyBytes_ += Used;
      if (Expected_ == 0 && Part_ == Part::Body)
        requestEnded();
      else if (Expected_ == 0)
        Part_ = Part::ChunkEnd;
    } else {
      Used = consumeLine(Bytes);
      if (RequestLineBytes_ > MaxHeadBytes || HeadBytes_ > MaxHeadBytes)
        return Verdict::HeadTooLarge;
    }
    if (Announced_ > MaxBodyBytes)
      return Verdict::BodyTooLarge;
    Bytes.remove_prefix(Used);
  }
  return Verdict::Accepted;
}

std::size_t RequestMeter::consumeLine(std::string_view Bytes) {
  const void *End = std::memchr(Bytes.data(), '\n', Bytes.size());
  const std::size_t Used =
      End == nullptr ? Bytes.size()
                     : static_cast<std::size_t>(static_cast<const char *>(End) -
                                                Bytes.data()) +
                           1;
  if (LineBytes_ < Line_.size())
    std::copy_n(Bytes.data(), std::min(Used, Line_.size() - LineBytes_),
                Line_.data() + LineBytes_);
  LineBytes_ += Used;
  if (Part_ == Part::Start && !line().empty())
    Part_ = Part::RequestLine;
  if (Part_ == Part::RequestLine)
    RequestLineBytes_ = LineBytes_;
  else if (Part_ == Part::Fields || Part_ == Part::Trailers)
    HeadBytes_ += Used;
  else if (LineBytes_ > Line_.size() && Part_ != Part::Start)
    // A chunk extension is not stored, but nobody needs one of this size.
    Certain_ = false;
  if (End != nullptr) {
    lineEnded();
    LineBytes_ = 0;
  }
  return Used;
}

std::string_view RequestMeter::line() const {
  std::string_view Out(Line_.data(), std::min(LineBytes_, Line_.size()));
  while (!Out.empty() && (Out.back() == '\n' || Out.back() == '\r'))
    Out.remove_suffix(1);
  return Out;
}

void RequestMeter::lineEnded() {
  switch (Part_) {
  case Part::RequestLine:
    Tunnel_ = line().starts_with("CONNECT ");
    Part_ = Part::Fields;
    return;
  case Part::Fields:
    return line().empty() ? headEnded() : fieldEnded();
  case Part::ChunkSize:
    return chunkSizeEnded();
  case Part::ChunkEnd:
    Certain_ = Certain_ && line().empty();
    Part_ = Part::ChunkSize;
    return;
  case Part::Trailers:
    if (line().empty())
      return requestEnded();
    ++Fields_;
    return;
  default:
    return;
  }
}

void RequestMeter::fieldEnded() {
  ++Fields_;
  const std::string_view Field = line();
  const std::size_t Colon = Field.find(':');
  // A line that begins with a space continues the value of the one before.
  if (Colon == std::string_view::npos || Field.find_first_of(" \t") == 0)
    return;
  const std::string_view Name = trim(Field.substr(0, Colon));
  const std::string_view Value = trim(Field.substr(Colon + 1));
  const bool IsLength = equalsIgnoringCase(Name, "content-length");
  const bool IsEncoding = equalsIgnoringCase(Name, "transfer-encoding");
  if (!IsLength && !IsEncoding)
    return;
  if (LineBytes_ > Line_.size())
    Certain_ = false;
  if (IsEncoding) {
    Chunked_ = endsWithIgnoringCase(Value, "chunked");
    return;
  }
  const auto [End, ParseError] =
      std::from_chars(Value.data(), Value.data() + Value.size(), Announced_);
  if (ParseError == std::errc::result_out_of_range)
    Announced_ = std::numeric_limits<std::uint64_t>::max();
  else if (ParseError != std::errc{} || End != Value.data() + Value.size())
    Certain_ = false;
}

void RequestMeter::headEnded() {
  // The parser ends such a request with its head, whatever its fields say.
  if (Tunnel_)
    return requestEnded();
  if (Chunked_) {
    Announced_ = 0;
    Part_ = Part::ChunkSize;
    return;
  }
  Expected_ = Announced_;
  if (Expected_ == 0)
    requestEnded();
  else
    Part_ = Part::Body;
}

void RequestMeter::chunkSizeEnded() {
  const std::string_view Size = line();
  const auto [End, ParseError] = std::from_chars(
      Size.data(), Size.data() + Size.size(), Expected_, HexadecimalBase);
  if (ParseError != std::errc{}) {
    Certain_ = false;
    Expected_ = std::numeric_limits<std::uint64_t>::max();
  }
  if (Expected_ == 0) {
    Part_ = Part::Trailers;
    return;
  }
  ++Chunks_;
  const std::uint64_t Most = std::numeric_limits<std::uint64_t>::max();
  Announced_ = Expected_ > Most - Announced_ ? Most : Announced_ + Expected_;
  Part_ = Part::Chunk;
}

void RequestMeter::requestEnded() {
  const std::uint64_t Completed = Completed_ + 1;
  const bool Certain = Certain_;
  *this = RequestMeter();
  Completed_ = Completed;
  Certain_ = Certain;
}

std::size_t RequestMeter::weight() const {
  // A body of unknown size is kept in a string that grows by doubling.
  const std::size_t Body = Chunked_ ? 2 * BodyBytes_ : BodyBytes_;
  return RequestLineBytes_ + HeadBytes_ + Fields_ * FieldCost + Body +
         Chunks_ * ChunkCost;
}

} // namespace cuminroad
