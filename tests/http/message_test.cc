#include "source/http/message.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace runshelf::http;

TEST_GROUP(Message){};

TEST(Message, HeadersAreFoundWithoutRegardToCase) {
  Headers headers;
  headers.Add("Attempt", "1");
  headers.Add("attempt", "2");
  STRCMP_EQUAL("1", headers.Find("ATTEMPT")->c_str());
  headers.Set("aTTempt", "3");
  CHECK_EQUAL(1, headers.all().size());
  STRCMP_EQUAL("3", headers.Find("Attempt")->c_str());
  CHECK_FALSE(headers.Has("Other"));
}

TEST(Message, HeadersOfOneConnectionAreRemoved) {
  Headers headers;
  for (const char* name : {"Connection", "Keep-Alive", "TE", "Transfer-Encoding", "Content-Length",
                           "Upgrade", "Expect"}) {
    headers.Add(name, "x");
  }
  headers.Add("Connection", "close, X-Hop , other");
  headers.Add("X-Hop", "1");
  headers.Add("Other", "1");
  headers.Add("Accept", "*/*");
  headers.RemoveConnectionHeaders();
  CHECK_EQUAL(1, headers.all().size());
  CHECK(headers.Has("Accept"));
}

TEST(Message, ARequestWithoutABodyHasALengthUnlessItIsAGet) {
  RequestHead head{"GET", "/a", {}};
  STRCMP_EQUAL("GET /a HTTP/1.1\r\n\r\n", SerializeRequest(head, "").c_str());
  head.method = "DELETE";
  STRCMP_EQUAL("DELETE /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
               SerializeRequest(head, "").c_str());
}

TEST(Message, NumbersAreWholeAndNotNegative) {
  CHECK_EQUAL(17, *ParseNumber("17"));
  for (const char* broken : {"", "-1", "1.5", " 1", "1 ", "x", "99999999999999999999"}) {
    CHECK_FALSE_TEXT(ParseNumber(broken).has_value(), broken);
  }
}

TEST(Message, AnInterimAnswerIsSkipped) {
  struct Observer : ParserObserver {
    void OnResponseHead(ResponseHead&& head) override { statuses.push_back(head.status); }
    void OnBody(std::string_view) override {}
    void OnMessageComplete(bool) override { ++complete; }
    std::vector<int> statuses;
    int complete = 0;
  } observer;
  Parser parser(ParserKind::kResponse, &observer);
  const std::string text =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  const ParseResult result = parser.Feed(text);
  CHECK(result.status == ParseStatus::kPaused);
  CHECK_EQUAL(text.size(), result.consumed);
  CHECK_EQUAL(1, observer.complete);
  CHECK_EQUAL(1, observer.statuses.size());
  CHECK_EQUAL(200, observer.statuses[0]);
}

namespace {

// Records what a response parser reports.
struct AnswerRecorder : ParserObserver {
  void OnResponseHead(ResponseHead&& head) override { statuses.push_back(head.status); }
  void OnBody(std::string_view data) override { body.append(data); }
  void OnMessageComplete(bool) override { ++complete; }
  std::vector<int> statuses;
  std::string body;
  int complete = 0;
};

}  // namespace

// Guards against taking bytes after an interim (1xx) response for part of the final answer's body.
TEST(Message, AnInterimAnswerHasNoBody) {
  for (const char* framing : {"Content-Length: 3\r\n\r\nabc",
                              "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"}) {
    AnswerRecorder recorder;
    Parser parser(ParserKind::kResponse, &recorder);
    const std::string text = std::string("HTTP/1.1 103 Early Hints\r\n") + framing +
                             "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    CHECK_TEXT(parser.Feed(text).status == ParseStatus::kMalformed, framing);
    STRCMP_EQUAL("", recorder.body.c_str());
    CHECK_EQUAL(0, recorder.complete);
  }
}

// Guards against an answer that is truncated in its head, with the next answer parsed as the rest.
TEST(Message, AnAnswerTruncatedInItsHeadAndFollowedByAnotherIsMalformed) {
  const std::string next = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
  for (const std::string cut : {"HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nName: val",
                                "HTTP/1.1 200 OK\r\nName: ", "HTTP/1.1 200 OK\r\nNa",
                                "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200"}) {
    AnswerRecorder recorder;
    Parser parser(ParserKind::kResponse, &recorder);
    CHECK_TEXT(parser.Feed(cut + next).status == ParseStatus::kMalformed, cut.c_str());
    CHECK_EQUAL(0, recorder.statuses.size());
  }
}

TEST(Message, AHeaderMayNameAVersionOfTheProtocol) {
  AnswerRecorder recorder;
  Parser parser(ParserKind::kResponse, &recorder);
  parser.Feed("HTTP/1.1 200 HTTP/1.1\r\nVia: HTTP/1.1 relay\r\nContent-Length: 0\r\n\r\n");
  CHECK_EQUAL(1, recorder.complete);
}
