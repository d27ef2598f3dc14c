// The estimate of what a request takes in memory, from its bytes alone.

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "cuminroad/net/RequestMeter.h"

using namespace cuminroad;

namespace {

using Verdict = RequestMeter::Verdict;

constexpr std::size_t MaxHead = 16384;
constexpr std::size_t MaxBody = 262144;

Verdict consume(RequestMeter &Meter, std::string_view Bytes) {
  return Meter.consume(Bytes, MaxHead, MaxBody);
}

std::string makeShortFields(std::size_t Count) {
  std::string Out;
  for (std::size_t Number = 0; Number < Count; ++Number)
    Out += "a:b\r\n";
  return Out;
}

const std::string Get = "GET /u/1 HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string Post =
    "POST /u/1 HTTP/1.1\r\ncontent-LENGTH:  10 \r\n\r\n0123\n56789";
const std::string Chunked =
    "POST /u/1 HTTP/1.1\nTransfer-Encoding: chunked\n\n"
    "4;x=y\r\nab\r\n\r\n1\r\nc\r\n0\r\nTrailer: 1\r\n\r\n";

} // namespace

// Guards against a meter that loses its place in pipelined requests, so that it
// takes bodies for heads.
BOOST_AUTO_TEST_CASE(pipelinedRequestsAreFollowed) {
  RequestMeter Meter;
  BOOST_CHECK(consume(Meter, "\r\n" + Get + Post + Chunked + Get) ==
              Verdict::Accepted);
  BOOST_CHECK_EQUAL(Meter.completed(), 4);
  BOOST_CHECK(!Meter.inRequest());
  BOOST_CHECK(Meter.isCertain());
  BOOST_CHECK_EQUAL(Meter.weight(), 0);
}

// Guards against a result that depends on how the network splits the bytes.
BOOST_AUTO_TEST_CASE(resultDoesNotDependOnPieces) {
  BOOST_CHECK(rc::check([] {
    const std::string Text = *rc::gen::element(Get, Post, Chunked) +
                             *rc::gen::element(Get, Post, Chunked) +
                             *rc::gen::string<std::string>();
    RequestMeter Whole;
    RequestMeter Pieces;
    const Verdict Expected = consume(Whole, Text);
    Verdict Got = Verdict::Accepted;
    std::string_view Rest = Text;
    while (!Rest.empty() && Got == Verdict::Accepted) {
      const auto Size = *rc::gen::inRange<std::size_t>(1, Rest.size() + 1);
      Got = consume(Pieces, Rest.substr(0, Size));
      Rest.remove_prefix(Size);
    }
    RC_ASSERT(Got == Expected);
    RC_ASSERT(Pieces.completed() == Whole.completed());
    RC_ASSERT(Pieces.weight() == Whole.weight());
    RC_ASSERT(Pieces.isCertain() == Whole.isCertain());
  }));
}

// Guards against heads of short fields that weigh little on the wire and much
// in memory.
BOOST_AUTO_TEST_CASE(shortFieldsWeighMoreThanTheirBytes) {
  RequestMeter Meter;
  consume(Meter, "GET / HTTP/1.1\r\n" + makeShortFields(3000));
  BOOST_CHECK_GT(Meter.weight(), 3000 * RequestMeter::FieldCost);
}

// A head of the largest legal size is accepted, and one byte more is not.
BOOST_AUTO_TEST_CASE(headLimitIsExact) {
  const std::string Fields =
      makeShortFields(3276) + "ab"; // 16,382 bytes, and the empty line.
  RequestMeter Legal;
  BOOST_CHECK(consume(Legal, "GET / HTTP/1.1\r\n" + makeShortFields(3276) +
                                 "\r\n") == Verdict::Accepted);
  BOOST_CHECK_EQUAL(Legal.completed(), 1);
  RequestMeter TooLarge;
  BOOST_CHECK(consume(TooLarge, "GET / HTTP/1.1\r\n" + Fields + "abc") ==
              Verdict::HeadTooLarge);
  RequestMeter LongUrl;
  BOOST_CHECK(consume(LongUrl, "GET /" + std::string(MaxHead, 'x')) ==
              Verdict::HeadTooLarge);
}

// Guards against bodies over the limit that are read before they are refused.
BOOST_AUTO_TEST_CASE(bodyLimitAppliesToTheAnnouncement) {
  RequestMeter Legal;
  BOOST_CHECK(consume(Legal, "POST / HTTP/1.1\r\nContent-Length: 262144\r\n"
                             "\r\n") == Verdict::Accepted);
  RequestMeter Announced;
  BOOST_CHECK(consume(Announced, "POST / HTTP/1.1\r\nContent-Length: 262145"
                                 "\r\n\r\n") == Verdict::BodyTooLarge);
  RequestMeter Huge;
  BOOST_CHECK(consume(Huge, "POST / HTTP/1.1\r\n"
                            "Content-Length: 99999999999999999999999\r\n"
                            "\r\n") == Verdict::BodyTooLarge);
  RequestMeter InChunks;
  BOOST_CHECK(consume(InChunks, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked"
                                "\r\n\r\n40001\r\n") == Verdict::BodyTooLarge);
}

// Guards against trailers, which are fields as well.
BOOST_AUTO_TEST_CASE(trailersCountAsFields) {
  const std::string Start = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                            "\r\n1\r\nx\r\n0\r\n";
  RequestMeter Meter;
  consume(Meter, Start + makeShortFields(100));
  BOOST_CHECK_GT(Meter.weight(), 100 * RequestMeter::FieldCost);
  BOOST_CHECK(consume(Meter, makeShortFields(3300)) == Verdict::HeadTooLarge);
}

// Guards against fields of a following request that weigh no more than a body,
// because the meter sees a body where the parser sees none.
BOOST_AUTO_TEST_CASE(headsWithoutABodyAreRecognized) {
  for (const char *Head :
       {"CONNECT h:1 HTTP/1.1\r\nContent-Length: 9000\r\n\r\n",
        "GET / HTTP/1.1\r\nA: b\r\n Content-Length: 9000\r\n\r\n"}) {
    RequestMeter Meter;
    consume(Meter, Head);
    BOOST_CHECK_EQUAL(Meter.completed(), 1);
    BOOST_CHECK(!Meter.inRequest());
  }
}

// Guards against a weight of 0 for framing that the meter can't follow.
BOOST_AUTO_TEST_CASE(unknownFramingIsUncertain) {
  RequestMeter Meter;
  consume(Meter, "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n");
  BOOST_CHECK(!Meter.isCertain());
  RequestMeter BadChunk;
  consume(BadChunk,
          "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n");
  BOOST_CHECK(!BadChunk.isCertain());
}
