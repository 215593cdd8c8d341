// Bytes of an HTTP server: an answer is the same in whatever pieces it comes, has one head, and is
// never made of two.
#include <string>
#include <string_view>
#include <vector>

#include "fuzz/fuzz_target.h"
#include "runshelf/common/status_line.h"
#include "source/http/message.h"

using namespace runshelf::http;
using runshelf::fuzz::Require;

namespace {

constexpr int kFirstFinalStatus = 200;

struct Answer {
  int status = 0;
  std::string headers;
  std::string body;
  bool complete = false;
  bool keep_alive = false;

  bool operator==(const Answer&) const = default;
};

class AnswerCollector : public ParserObserver {
 public:
  void OnResponseHead(ResponseHead&& head) override {
    Require(answers.empty() || answers.back().complete, "a head follows a complete answer");
    Require(head.status >= kFirstFinalStatus || head.status < 100, "interim answers are skipped");
    Answer& answer = answers.emplace_back();
    answer.status = head.status;
    for (const Header& header : head.headers.all()) {
      Require(!runshelf::ContainsStatusLine(header.value), "a head is not made of two");
      answer.headers += header.name + ": " + header.value + "\n";
    }
  }

  void OnBody(std::string_view data) override {
    Require(!answers.empty() && !answers.back().complete, "a body follows a head");
    answers.back().body.append(data);
  }

  void OnMessageComplete(bool keep_alive) override {
    Require(!answers.empty() && !answers.back().complete, "an answer is complete once");
    answers.back().complete = true;
    answers.back().keep_alive = keep_alive;
  }

  std::vector<Answer> answers;
};

// Feeds pieces of this size up to the end or a fault, as the client does, and ends the connection.
std::vector<Answer> Parse(std::string_view bytes, size_t piece_size) {
  AnswerCollector collector;
  Parser parser(ParserKind::kResponse, &collector);
  while (!bytes.empty()) {
    std::string_view piece = bytes.substr(0, piece_size);
    bytes.remove_prefix(piece.size());
    while (!piece.empty()) {
      const ParseResult result = parser.Feed(piece);
      const bool fault =
          result.status == ParseStatus::kMalformed || result.status == ParseStatus::kHeadTooLarge;
      if (fault) return collector.answers;
      Require(result.consumed > 0 && result.consumed <= piece.size(), "the parser goes on");
      piece.remove_prefix(result.consumed);
    }
  }
  parser.Finish();
  return collector.answers;
}

}  // namespace

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string bytes = runshelf::fuzz::ToText(data, size);
  if (bytes.empty()) return 0;
  const std::vector<Answer> whole = Parse(bytes, bytes.size());
  if (!whole.empty() && whole.back().complete) runshelf::fuzz::CountAccepted();
  Require(Parse(bytes, 1) == whole, "answers are the same in pieces");
  return 0;
}
