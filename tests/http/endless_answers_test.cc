// Answers that never end, in every place of an answer.

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <string>

#include "source/http/client.h"
#include "tests/event/loop_runner.h"
#include "tests/http/endless_sender.h"

using namespace runshelf;
using namespace runshelf::http;
using event::RunFor;
using event::RunUntil;
using std::chrono::milliseconds;

namespace {

constexpr Duration kTimeout = milliseconds(3000);
// What the operating system buffers on the way, and a bounded answer.
constexpr size_t kMaxSent = size_t{12} * 1024 * 1024;

}  // namespace

TEST_GROUP(EndlessAnswers) {
  event::EventLoop loop;
  ConnectionPool pool{loop};
};

// Guards against memory that fills up, and connections that stay open, until a call times out.
TEST(EndlessAnswers, CallsEndLongBeforeTheirTimeout) {
  for (const EndlessAnswer& answer : EndlessAnswers("")) {
    EndlessSender sender(loop);
    sender.set_answer(answer);
    CallOptions options(AnswerMatch::InOrder(), "test");
    options.wait_while_answer_arrives = true;
    bool over = false;
    const Instant began = loop.Now();
    SimpleCall call(loop, pool, sender.endpoint(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n", options,
                    kTimeout, [&](const std::optional<Response>& response, ClientFailure) {
                      over = true;
                      const bool whole = answer.name == "after a whole answer";
                      CHECK_EQUAL_TEXT(whole, response.has_value(), answer.name.data());
                    });
    CHECK_TEXT(RunUntil(
                   loop, [&] { return over; }, 2 * kTimeout),
               answer.name.data());
    CHECK_TEXT(loop.Now() - began < kTimeout / 2, answer.name.data());
    CHECK_TEXT(sender.sent() < kMaxSent, answer.name.data());
    CHECK_TEXT(RunUntil(loop, [&] { return sender.open() == 0; }), answer.name.data());
  }
}

// Guards against an answer that is refused because it follows ordinary interim answers.
TEST(EndlessAnswers, AnswerAfterAFewInterimAnswersIsComplete) {
  class Counter : public ParserObserver {
   public:
    void OnResponseHead(ResponseHead&& head) override { status = head.status; }
    void OnBody(std::string_view) override {}
    void OnMessageComplete(bool) override { ++complete; }
    int status = 0;
    int complete = 0;
  } counter;
  Parser parser(ParserKind::kResponse, &counter);
  for (int round = 1; round <= 3; ++round) {
    std::string bytes;
    for (int count = 0; count < 20; ++count) {
      bytes += "HTTP/1.1 103 Early Hints\r\nLink: " + std::string(1000, 'x') + "\r\n\r\n";
    }
    bytes += "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    const ParseResult result = parser.Feed(bytes);
    CHECK(result.status == ParseStatus::kPaused);
    CHECK_EQUAL(200, counter.status);
    CHECK_EQUAL(round, counter.complete);
  }
}
