// Names that are not text: identities and handovers reach a node as bytes of a path or a header,
// which no JSON parser has checked.
//
// Guards against the end of the whole process, with all requests that it has taken, when such a
// name is written onward as JSON.

#include <CppUTest/TestHarness.h>

#include <string>

#include "tests/platform_adapter/fleet.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using event::RunFor;
using event::RunUntil;
using std::chrono::milliseconds;

namespace {

// Longer than a node waits for a worker that it cannot identify.
constexpr Duration kObserved = milliseconds(1500);

const std::string kUnreadable = "i-\xff\xfe\x80";

std::string HeartbeatOf(const FakeWorker& worker, const std::string& service,
                        const std::string& state) {
  return R"({"service":")" + service + R"(","address":")" + worker.endpoint().ToString() +
         R"(","zone":"z","version":"v1","slots":4,"state":")" + state +
         R"(","cold_remaining_ms":0,"call_sequence":9000})";
}

// Whether the node runs a request on its own worker.
void CheckServedByOwnWorker(Fleet& fleet, size_t node) {
  const auto answer = fleet.Request(node, "POST", "/send/1", "body");
  CHECK(answer.has_value());
  CHECK_EQUAL_TEXT(200, answer->status, fleet.Log().c_str());
  STRCMP_EQUAL((fleet.nodes[node].worker->id() + ":body").c_str(), answer->body.c_str());
}

}  // namespace

TEST_GROUP(UnreadableNames){};

// Guards against the end of the process, and the loss of the present worker, after a heartbeat or
// leave notice of another writer.
TEST(UnreadableNames, NoticeOfUnreadableIdIsRefusedAndThePresentWorkerStays) {
  Fleet fleet({"plain", "other"});
  fleet.Start();
  const FakeWorker& worker = *fleet.nodes[0].worker;
  for (const std::string& id : {kUnreadable, std::string("\xc0\xaf"), std::string("\xed\xa0\x80"),
                                std::string("w0\xc3"), std::string(5000, 'w')}) {
    for (const char* state : {"ready", "draining"}) {
      const auto answer = fleet.Heartbeat(0, id, HeartbeatOf(worker, "plain", state));
      CHECK(answer.has_value());
      CHECK_EQUAL(400, answer->status);
    }
    const auto answer = fleet.Leave(0, id);
    CHECK(answer.has_value());
    CHECK_EQUAL(400, answer->status);
  }
  RunFor(fleet.loop, kObserved);
  CheckServedByOwnWorker(fleet, 0);
}

// Guards against the end of the process when a restarted node asks such a worker who it is.
TEST(UnreadableNames, HealthAnswerOfUnreadableIdIdentifiesNoWorker) {
  Fleet fleet({"plain", "plain"});
  fleet.Start();
  fleet.Kill(0);
  fleet.nodes[0].worker->set_stated_id(kUnreadable);
  fleet.nodes[0].worker->set_heartbeats_cut(true);
  fleet.Restart(0);
  RunFor(fleet.loop, kObserved);
  CHECK(fleet.nodes[0].sidecar->ready());
  const auto answer = fleet.Request(0, "POST", "/send/1", "body");
  CHECK(answer.has_value());
  CHECK_EQUAL_TEXT(200, answer->status, fleet.Log().c_str());
  STRCMP_EQUAL("w1:body", answer->body.c_str());
}

// Guards against the same when the worker at the address refuses a request for another one.
TEST(UnreadableNames, RefusalOfUnreadableIdIdentifiesNoWorker) {
  Fleet fleet({"plain", "plain"});
  fleet.Start();
  fleet.nodes[0].worker->set_heartbeats_cut(true);
  fleet.nodes[0].worker->set_stated_id(kUnreadable);
  for (int count = 0; count < 10; ++count) {
    const auto answer = fleet.Request(0, "POST", "/send/1", "body");
    CHECK(answer.has_value());
    RunFor(fleet.loop, milliseconds(100));
  }
  RunFor(fleet.loop, kObserved);
  const auto answer = fleet.Request(0, "POST", "/send/1", "body");
  CHECK(answer.has_value());
  CHECK_EQUAL_TEXT(200, answer->status, fleet.Log().c_str());
  STRCMP_EQUAL("w1:body", answer->body.c_str());
  CHECK_EQUAL(0, fleet.nodes[0].worker->executed().size());
}

// Guards against the end of the process when it writes the handover of released keys.
TEST(UnreadableNames, UnreadableHandoverIsDroppedAndTheKeysMove) {
  Fleet fleet({"keyed", "keyed", "other"});
  fleet.Start();
  for (const std::string& handover : {kUnreadable, std::string(5000, 'h')}) {
    const size_t leaving = *fleet.HolderOf(0);
    fleet.nodes[leaving].worker->set_handover(handover);
    fleet.nodes[leaving].worker->set_draining(true);
    const size_t other = 1 - leaving;
    const bool moved = RunUntil(
        fleet.loop,
        [&] { return fleet.EveryKeyHeld() && fleet.HolderOf(0).value_or(leaving) == other; },
        std::chrono::seconds(5));
    CHECK_TEXT(moved, fleet.Log().c_str());
    STRCMP_EQUAL("", fleet.nodes[other].worker->Holds(0)->handover.c_str());
    CHECK_EQUAL(200, fleet.Keyed(2, 0)->status);
    fleet.ReplaceWorker(leaving, "next");
    CHECK(RunUntil(
        fleet.loop, [&] { return fleet.nodes[leaving].worker->heartbeat_status() == 200; },
        std::chrono::seconds(5)));
  }
}

// Guards against a caller that is refused because the time that it gives is beyond the range of a
// duration.
TEST(UnreadableNames, RequestWithAVeryLongDeadlineIsServed) {
  Fleet fleet({"plain", "other"});
  fleet.Start();
  for (const char* deadline :
       {"9223372036854775807", "9223372036854776", "9300000000000000", "86400000"}) {
    http::Headers headers;
    headers.Add("Deadline-Ms", deadline);
    const auto answer = fleet.Request(0, "POST", "/send/1", "body", headers);
    CHECK_TEXT(answer.has_value(), deadline);
    CHECK_EQUAL_TEXT(200, answer->status, deadline);
  }
}
