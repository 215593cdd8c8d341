// Workers, nodes and a store that answer with bytes that never end.
//
// Guards against a process whose memory fills up until it is ended, connections that stay in use,
// and callers that are told nothing until their deadline.

#include <CppUTest/TestHarness.h>
#include <malloc.h>

#include <algorithm>
#include <memory>
#include <string>

#include "source/sidecar/node_record.h"
#include "tests/http/endless_sender.h"
#include "tests/platform_adapter/fleet.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using event::RunFor;
using event::RunUntil;
using http::EndlessAnswer;
using http::EndlessAnswers;
using http::EndlessSender;
using std::chrono::milliseconds;

namespace {

// Half of the memory of a small machine, which has 260 MB.
constexpr size_t kMaxGrowth = size_t{128} * 1024 * 1024;
constexpr Duration kDeadline = milliseconds(2000);

// Watches how much memory is allocated beyond what was at its start. Zero with sanitizers, whose
// allocator does not tell.
class MemoryWatch {
 public:
  explicit MemoryWatch(event::EventLoop& loop)
      : timer_(loop, [this] { most_ = std::max(most_, Allocated()); }), start_(Allocated()) {
    timer_.Start(milliseconds(5), /*repeating=*/true);
  }

  size_t growth() const { return most_ > start_ ? most_ - start_ : 0; }

 private:
  static size_t Allocated() {
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
  }

  event::Timer timer_;
  size_t start_;
  size_t most_ = 0;
};

http::Headers WithId(const std::string& id) {
  http::Headers headers;
  headers.Add("Attempt-Id", id);
  return headers;
}

void CheckAllClosed(Fleet& fleet, const EndlessSender& sender, const EndlessAnswer& answer) {
  CHECK_TEXT(RunUntil(fleet.loop, [&] { return sender.open() == 0; }), answer.name.data());
}

}  // namespace

TEST_GROUP(EndlessBytes){};

// Guards against a caller of a worker that sends them as its answer; the request may have run.
TEST(EndlessBytes, AnswerToARequestEndsByTheDeadlineAndPromisesNothing) {
  Fleet fleet({"plain", "other"});
  EndlessSender sender(fleet.loop);
  fleet.nodes[0].settings.worker = sender.endpoint();
  fleet.Start();
  MemoryWatch memory(fleet.loop);
  int number = 0;
  for (const EndlessAnswer& answer : EndlessAnswers("Attempt-Id: e1\r\nServer-Stamp: s\r\n")) {
    sender.set_answer(answer);
    const Instant began = fleet.loop.Now();
    // A request of its own each time: the same one would soon be quarantined.
    const std::string target = "/send/" + std::to_string(++number);
    const auto reply = fleet.Request(1, "POST", target, "body", WithId("e1"));
    CHECK_TEXT(sender.requests() > 0, answer.name.data());
    CHECK_TEXT(fleet.loop.Now() - began < kDeadline + milliseconds(300), answer.name.data());
    const bool whole = answer.name == "after a whole answer";
    // Without an answer, the connection was closed in the middle of one.
    const int status = reply.has_value() ? reply->status : 502;
    if (whole) {
      CHECK_EQUAL_TEXT(200, status, answer.name.data());
    } else {
      CHECK_TEXT(status == 502 || status == 504, answer.name.data());
    }
    CheckAllClosed(fleet, sender, answer);
    sender.Reset();
  }
  CHECK_TEXT(memory.growth() < kMaxGrowth, std::to_string(memory.growth()).c_str());
}

// Guards against a caller that is told nothing, or no promise, after the worker has refused.
TEST(EndlessBytes, BodyOfARefusalIsNotWaitedFor) {
  Fleet fleet({"plain", "other"});
  EndlessSender sender(fleet.loop);
  fleet.nodes[0].settings.worker = sender.endpoint();
  fleet.Start();
  const std::string head =
      "HTTP/1.1 503 Full\r\nAttempt-Id: e1\r\nNot-Executed: 1\r\nConnection: close\r\n\r\n";
  const EndlessAnswer answer{"refusal", head, std::string(1000, 'x')};
  sender.set_answer(answer);
  const Instant began = fleet.loop.Now();
  const auto reply = fleet.Request(1, "POST", "/send/1", "body", WithId("e1"));
  CHECK(reply.has_value());
  CHECK_EQUAL(503, reply->status);
  CHECK(fleet.loop.Now() - began < kDeadline / 4);
  CheckAllClosed(fleet, sender, answer);
}

// Guards against memory that fills up while the node asks who is at the worker's address.
TEST(EndlessBytes, HealthAnswersAreBounded) {
  for (const EndlessAnswer& answer : EndlessAnswers("Instance-Id: w0\r\n")) {
    Fleet fleet({"plain", "plain"});
    EndlessSender sender(fleet.loop);
    sender.set_answer(answer);
    fleet.nodes[0].settings.worker = sender.endpoint();
    fleet.Start();
    fleet.Kill(0);
    RunFor(fleet.loop, milliseconds(20));
    MemoryWatch memory(fleet.loop);
    sender.Reset();
    fleet.Restart(0);
    fleet.nodes[0].worker->set_heartbeats_cut(true);
    CHECK(RunUntil(fleet.loop, [&] { return sender.requests() > 0; }));
    RunFor(fleet.loop, milliseconds(600));
    CHECK_TEXT(memory.growth() < kMaxGrowth, answer.name.data());
    CHECK_TEXT(sender.open() <= 1, answer.name.data());
    const auto reply = fleet.Request(1, "POST", "/send/1", "body");
    CHECK_TEXT(reply.has_value(), answer.name.data());
  }
}

// Guards against the same in the answers to grants and releases of keys; the other worker serves.
TEST(EndlessBytes, AnswersToGrantsAreBounded) {
  for (const EndlessAnswer& answer : EndlessAnswers("Handover: h\r\nInstance-Id: w0\r\n")) {
    Fleet fleet({"keyed", "keyed", "other"});
    EndlessSender sender(fleet.loop);
    sender.set_answer(answer);
    fleet.nodes[0].settings.worker = sender.endpoint();
    fleet.Launch();
    MemoryWatch memory(fleet.loop);
    CHECK_TEXT(RunUntil(fleet.loop, [&] { return sender.requests() > 2; }), answer.name.data());
    RunFor(fleet.loop, milliseconds(500));
    fleet.nodes[0].worker->set_draining(true);
    RunFor(fleet.loop, milliseconds(500));
    CHECK_TEXT(memory.growth() < kMaxGrowth, answer.name.data());
    CHECK_TEXT(fleet.nodes[1].sidecar->ready(), answer.name.data());
  }
}

// Guards against the same from the store: the nodes that it answers go on.
TEST(EndlessBytes, AnswersOfTheStoreAreBounded) {
  for (const EndlessAnswer& answer : EndlessAnswers("")) {
    Fleet fleet({"plain", "plain"});
    EndlessSender sender(fleet.loop);
    sender.set_answer(answer);
    fleet.nodes[0].settings.store = sender.endpoint();
    fleet.Launch();
    MemoryWatch memory(fleet.loop);
    CHECK(RunUntil(fleet.loop, [&] { return fleet.nodes[1].sidecar->ready(); }));
    RunFor(fleet.loop, milliseconds(1500));
    CHECK_TEXT(memory.growth() < kMaxGrowth, answer.name.data());
    CHECK_FALSE_TEXT(fleet.nodes[0].sidecar->ready(), answer.name.data());
    const auto reply = fleet.Request(1, "POST", "/send/1", "body");
    CHECK_TEXT(reply.has_value() && reply->status == 200, answer.name.data());
  }
}

// Guards against the same from another node, in the answer to a forwarded request.
TEST(EndlessBytes, AnswersOfAnotherNodeAreBounded) {
  for (const EndlessAnswer& answer : EndlessAnswers("")) {
    Fleet fleet({"plain", "other"});
    EndlessSender sender(fleet.loop);
    sender.set_answer(answer);
    fleet.store.set_value_filter([&](const std::string&, const std::string& value) {
      auto record = sidecar::NodeRecord::Parse(value);
      if (!record.has_value() || record->node != "n0") return value;
      record->inbound = sender.endpoint();
      return record->Serialize();
    });
    fleet.Start();
    MemoryWatch memory(fleet.loop);
    sender.Reset();
    const Instant began = fleet.loop.Now();
    const auto reply = fleet.Request(1, "POST", "/send/1", "body");
    CHECK_TEXT(sender.requests() > 0, answer.name.data());
    CHECK_TEXT(fleet.loop.Now() - began < kDeadline + milliseconds(300), answer.name.data());
    CHECK_TEXT(!reply.has_value() || reply->status != 503, answer.name.data());
    CHECK_TEXT(memory.growth() < kMaxGrowth, answer.name.data());
    const auto own = fleet.Request(0, "POST", "/send/1", "body");
    CHECK_TEXT(own.has_value() && own->status == 200, answer.name.data());
  }
}
