// Combines duplicate answers of every form, position and identifier, and checks what callers get: a
// caller gets its own complete answer or a failure, never another request's answer and never a mix
// of two.
#include <CppUTest/TestHarness.h>
#include <netinet/tcp.h>
#include <sys/time.h>

#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "source/http/client.h"
#include "tests/event/loop_runner.h"
#include "tests/http/raw_server.h"

using namespace runshelf;
using namespace runshelf::http;
using event::EventLoop;
using event::RunUntil;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kBetweenPieces{1};
constexpr milliseconds kLate{2000};
// The server closes a connection on which no request arrives for this long, so that a failing test
// does not hang.
constexpr timeval kReadTimeout{3, 0};

constexpr int kRequests = 4;

// When the second answer to the first request is sent.
enum class Place {
  kWithItsFirst,   // In one write with the end of the first one.
  kAfterItsFirst,  // After the first one, whether or not another request is in progress.
  kBeforeNext,     // During the next request, before its answer.
  kAfterNext,      // After the answer to the next request.
};

enum class Form {
  kWhole,
  kPiecesOfHead,
  kPiecesOfBody,
  kAfterInterim,
  kInterimWithBody,  // Only an interim answer, with a body, which is not allowed.
  kInterimChunked,   // The same with a chunked body.
  kChunked,
  kNoContent,
  kBeforeGarbage,
  kGarbage,         // Only bytes that are not an answer.
  kWithoutLength,   // Delimited by the end of the connection.
  kCutInItsReason,  // Truncated and followed by the next answer; so are the next two.
  kCutInItsHead,
  kCutInItsBody,
};

enum class Id { kOfItsRequest, kOfNoRequest, kNone };

enum class OwnForm { kWhole, kPieces, kChunked };

struct Case {
  Place place;
  Form form;
  Id id;
  OwnForm own_form;
  milliseconds delay{0};
};

constexpr Place kPlaces[] = {Place::kWithItsFirst, Place::kAfterItsFirst, Place::kBeforeNext,
                             Place::kAfterNext};
constexpr Form kForms[] = {
    Form::kWhole,           Form::kPiecesOfHead,   Form::kPiecesOfBody,  Form::kAfterInterim,
    Form::kInterimWithBody, Form::kInterimChunked, Form::kChunked,       Form::kNoContent,
    Form::kBeforeGarbage,   Form::kGarbage,        Form::kWithoutLength, Form::kCutInItsReason,
    Form::kCutInItsHead,    Form::kCutInItsBody,
};
constexpr Id kIds[] = {Id::kOfItsRequest, Id::kOfNoRequest, Id::kNone};
constexpr OwnForm kOwnForms[] = {OwnForm::kWhole, OwnForm::kPieces, OwnForm::kChunked};

std::string Describe(const Case& tested) {
  return "place " + std::to_string(static_cast<int>(tested.place)) + " form " +
         std::to_string(static_cast<int>(tested.form)) + " id " +
         std::to_string(static_cast<int>(tested.id)) + " own form " +
         std::to_string(static_cast<int>(tested.own_form)) + " delay " +
         std::to_string(tested.delay.count());
}

// Each piece is sent at once, with a pause between pieces.
using Pieces = std::vector<std::string>;

std::string Head(const std::string& id_header, const std::string& framing) {
  return "HTTP/1.1 200 OK\r\n" + id_header + framing + "\r\n\r\n";
}

std::string LengthOf(const std::string& body) {
  return "Content-Length: " + std::to_string(body.size());
}

std::string Chunks(const std::string& body) {
  return "1\r\n" + body.substr(0, 1) + "\r\n" + std::to_string(body.size() - 1) + "\r\n" +
         body.substr(1) + "\r\n0\r\n\r\n";
}

Pieces InTwo(const std::string& text, size_t first) {
  return {text.substr(0, first), text.substr(first)};
}

std::string OwnBody(const std::string& id) { return "answer" + id; }

Pieces OwnAnswer(const std::string& id, OwnForm form) {
  const std::string header = "Request-Id: " + id + "\r\n";
  const std::string whole = Head(header, LengthOf(OwnBody(id))) + OwnBody(id);
  switch (form) {
    case OwnForm::kWhole:
      return {whole};
    case OwnForm::kPieces:
      return InTwo(whole, whole.size() - 2);
    case OwnForm::kChunked:
      return {Head(header, "Transfer-Encoding: chunked") + Chunks(OwnBody(id))};
  }
  return {};
}

std::string IdHeader(Id id) {
  switch (id) {
    case Id::kOfItsRequest:
      return "Request-Id: 1\r\n";
    case Id::kOfNoRequest:
      return "Request-Id: nobody\r\n";
    case Id::kNone:
      return "";
  }
  return "";
}

Pieces SecondAnswer(const Case& tested) {
  const std::string header = IdHeader(tested.id);
  const std::string body = "second";
  const std::string head = Head(header, LengthOf(body));
  const std::string interim = "HTTP/1.1 103 Early Hints\r\n";
  switch (tested.form) {
    case Form::kWhole:
      return {head + body};
    case Form::kPiecesOfHead:
      return InTwo(head + body, head.size() - 4);
    case Form::kPiecesOfBody:
      return InTwo(head + body, head.size() + 2);
    case Form::kAfterInterim:
      return {interim + "\r\n" + head + body};
    case Form::kInterimWithBody:
      return {interim + header + LengthOf(body) + "\r\n\r\n" + body};
    case Form::kInterimChunked:
      return {interim + header + "Transfer-Encoding: chunked\r\n\r\n" + Chunks(body)};
    case Form::kChunked:
      return {Head(header, "Transfer-Encoding: chunked") + Chunks(body)};
    case Form::kNoContent:
      return {"HTTP/1.1 204 No Content\r\n" + header + "\r\n"};
    case Form::kBeforeGarbage:
      return {head + body + "no answer"};
    case Form::kGarbage:
      return {"no answer\r\n\r\n"};
    case Form::kWithoutLength:
      return {Head(header, "Second: yes") + body};
    case Form::kCutInItsHead:
      return {"HTTP/1.1 200 OK\r\n" + header + "Cut: off"};
    case Form::kCutInItsReason:
      return {"HTTP/1.1 201 Crea"};
    case Form::kCutInItsBody:
      return {head + body.substr(0, 2)};
  }
  return {};
}

void SendPieces(int connection, const Pieces& pieces) {
  for (size_t i = 0; i < pieces.size(); ++i) {
    if (i > 0) std::this_thread::sleep_for(kBetweenPieces);
    RawServer::Send(connection, pieces[i]);
  }
}

std::string IdOfRequest(const std::string& head) {
  const std::string name = "Request-Id: ";
  const size_t start = head.find(name);
  if (start == std::string::npos) return "";
  const size_t begin = start + name.size();
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

// Whether a client cannot find the start of the next answer; the server then ends the connection.
bool EndsConnection(Form form) {
  switch (form) {
    case Form::kWithoutLength:
    case Form::kCutInItsReason:
    case Form::kCutInItsHead:
    case Form::kCutInItsBody:
      return true;
    default:
      return false;
  }
}

// Answers the first request twice, the second time on the same connection.
class DuplicateAnswerServer {
 public:
  explicit DuplicateAnswerServer(const Case& tested)
      : tested_(tested), server_([this](int connection) { Serve(connection); }) {}

  const event::Endpoint& endpoint() const { return server_.endpoint(); }

 private:
  void Serve(int connection) {
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &kReadTimeout, sizeof kReadTimeout);
    const int at_once = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &at_once, sizeof at_once);
    bool second_sent = false;
    while (true) {
      const std::string id = IdOfRequest(RawServer::ReadHead(connection));
      if (id.empty()) return;
      const Pieces own = OwnAnswer(id, tested_.own_form);
      if (id == "1") {
        second_sent = AnswerFirst(connection, own);
      } else if (id == "2" && !second_sent) {
        AnswerSecond(connection, own);
        second_sent = true;
      } else {
        SendPieces(connection, own);
      }
      if (second_sent && id != "1" && EndsConnection(tested_.form)) return;
    }
  }

  // Returns whether the second answer was sent.
  bool AnswerFirst(int connection, Pieces own) {
    if (tested_.place == Place::kWithItsFirst) {
      const Pieces again = SecondAnswer(tested_);
      own.back() += again.front();
      own.insert(own.end(), again.begin() + 1, again.end());
    }
    SendPieces(connection, own);
    if (tested_.place == Place::kAfterItsFirst) SendSecondAnswer(connection);
    return tested_.place == Place::kWithItsFirst || tested_.place == Place::kAfterItsFirst;
  }

  void AnswerSecond(int connection, const Pieces& own) {
    const bool on_first = server_.connections() == 1;
    if (on_first && tested_.place == Place::kBeforeNext) SendSecondAnswer(connection);
    SendPieces(connection, own);
    if (on_first && tested_.place == Place::kAfterNext) SendSecondAnswer(connection);
  }

  void SendSecondAnswer(int connection) {
    std::this_thread::sleep_for(tested_.delay);
    SendPieces(connection, SecondAnswer(tested_));
  }

  const Case tested_;
  RawServer server_;
};

class Caller : public ResponseObserver {
 public:
  void OnResponseHead(ResponseHead&& received) override {
    ++heads;
    head = std::move(received);
  }
  void OnResponseBody(std::string_view data) override { body.append(data); }
  void OnResponseComplete() override { ++complete; }
  void OnClientFailure(ClientFailure) override { ++failed; }

  bool over() const { return complete + failed > 0; }
  // Whether the caller received exactly its own complete answer.
  bool HasOwnAnswer(const std::string& id) const {
    const std::string* found = head.headers.Find("Request-Id");
    return complete == 1 && failed == 0 && heads == 1 && head.status == 200 && found != nullptr &&
           *found == id && !head.headers.Has("Cut") && body == OwnBody(id);
  }
  // Whether the call failed, after receiving at most a part of its own answer.
  bool HasFailed(const std::string& id) const {
    const std::string* found = head.headers.Find("Request-Id");
    return complete == 0 && failed == 1 &&
           (heads == 0 ? body.empty()
                       : found != nullptr && *found == id && OwnBody(id).starts_with(body));
  }

  ResponseHead head;
  std::string body;
  int heads = 0;
  int complete = 0;
  int failed = 0;
};

std::string RequestOf(const std::string& id) {
  return "GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\n\r\n";
}

AnswerMatch ById(const std::string& id) { return AnswerMatch::EchoedHeader("Request-Id", id); }

}  // namespace

TEST_GROUP(SecondAnswerMatrix) {
  using MatchOfId = std::function<AnswerMatch(const std::string&)>;

  EventLoop loop;
  int cases = 0;
  std::vector<std::string> violations;

  // The first request precedes every second answer, and the last request follows all of them, so
  // these two must succeed.
  void RunCase(const Case& tested, const MatchOfId& match) {
    ++cases;
    ConnectionPool pool(loop);
    const DuplicateAnswerServer server(tested);
    for (int number = 1; number <= kRequests; ++number) {
      const std::string id = std::to_string(number);
      Caller caller;
      const auto call =
          pool.Send(server.endpoint(), RequestOf(id), CallOptions(match(id), "test"), &caller);
      const bool over = RunUntil(loop, [&] { return caller.over(); });
      const bool may_fail = number != 1 && number != kRequests;
      if (over && (caller.HasOwnAnswer(id) || (may_fail && caller.HasFailed(id)))) continue;
      violations.push_back(Describe(tested) + " request " + id + " got " + caller.body);
    }
    pool.CloseIdle(server.endpoint());
  }

  void RunAllCases(milliseconds delay, const MatchOfId& match) {
    for (const Place place : kPlaces) {
      for (const Form form : kForms) {
        for (const Id id : kIds) {
          for (const OwnForm own_form : kOwnForms)
            RunCase({place, form, id, own_form, delay}, match);
        }
      }
    }
  }

  void CheckNoViolations() {
    std::string text = std::to_string(cases) + " cases";
    for (const std::string& violation : violations) text += "\n" + violation;
    CHECK_EQUAL_TEXT(0, violations.size(), text.c_str());
  }
};

// Guards against a caller that gets the answer to another request, or to none.
TEST(SecondAnswerMatrix, ByIdAtOnce) {
  RunAllCases(milliseconds(0), &ById);
  CheckNoViolations();
}

// The same, with the second answer arriving while the next request is about to be sent.
TEST(SecondAnswerMatrix, ByIdALittleLater) {
  RunAllCases(milliseconds(1), &ById);
  CheckNoViolations();
}

// The same, with the second answer arriving while the caller waits for a slow answer.
TEST(SecondAnswerMatrix, ByIdLate) {
  for (const Id id : kIds) {
    RunCase({Place::kBeforeNext, Form::kWhole, id, OwnForm::kWhole, kLate}, &ById);
  }
  CheckNoViolations();
}

// Guards against reusing a connection that must carry a single request.
TEST(SecondAnswerMatrix, OnConnectionsOfTheirOwn) {
  RunAllCases(milliseconds(0), [](const std::string&) { return AnswerMatch::OwnConnection(); });
  CheckNoViolations();
}
