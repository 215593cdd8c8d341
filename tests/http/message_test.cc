#include "source/http/message.h"

#include <CppUTest/TestHarness.h>

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
