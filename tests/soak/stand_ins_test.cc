// Tests the faults of FakeStore and FakeWorker that only the soak test uses.
#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "source/http/client.h"
#include "tests/event/loop_runner.h"
#include "tests/platform_adapter/fake_store.h"
#include "tests/platform_adapter/fake_worker.h"

using namespace runshelf;
using event::RunFor;
using event::RunUntil;
using nlohmann::json;
using platform_adapter::FakeStore;
using platform_adapter::FakeWorker;
using std::chrono::milliseconds;

TEST_GROUP(StandIns) {
  event::EventLoop loop;
  http::ConnectionPool pool{loop};
  FakeStore store{loop};
  FakeWorker worker{loop, "w1", "keyed"};

  // Returns the status of the response, or 0 if there is none within 100 ms.
  int Post(const event::Endpoint& to, const std::string& target, const json& body) {
    bool over = false;
    int status = 0;
    http::RequestHead head;
    head.method = "POST";
    head.target = target;
    head.headers.Add("Host", "h");
    http::SimpleCall call(loop, pool, to, http::SerializeRequest(head, body.dump()),
                          {http::AnswerMatch::InOrder(), "test"}, milliseconds(100),
                          [&](const std::optional<http::Response>& response, http::ClientFailure) {
                            over = true;
                            if (response.has_value()) status = response->status;
                          });
    RunUntil(loop, [&] { return over; });
    return status;
  }
  // Creates the key "a" if it does not exist.
  int Create(size_t entrance) {
    return Post(store.entrance(entrance), "/runshelf/kv-txn",
                {{"expected_revision", {{{"private_key", "a"}, {"revision", 0}}}},
                 {"put", {{{"private_key", "a"}, {"value", ""}}}},
                 {"remove", json::array()}});
  }
  int Order(const std::string& what, uint32_t first, uint32_t last, uint64_t token) {
    return Post(
        worker.endpoint(), "/runshelf/" + what,
        {{"from_revision", first}, {"target_version", last}, {"fence", token}, {"hold_ms", 1000}});
  }
};

TEST(StandIns, TheStoreRejectsRequestsAtOneEntrance) {
  const size_t first = store.AddEntrance();
  const size_t second = store.AddEntrance();
  store.set_entrance_fault(first, FakeStore::Fault::kThrottle);
  CHECK_EQUAL(429, Create(first));
  store.set_entrance_fault(first, FakeStore::Fault::kReset);
  CHECK_EQUAL(0, Create(first));
  CHECK_EQUAL(200, Create(second));
}

TEST(StandIns, AnUnansweredTransactionIsDoneLateIfItsConditionStillHolds) {
  const size_t entrance = store.AddEntrance();
  store.set_lateness([] { return milliseconds(200); });
  store.set_fault(FakeStore::Fault::kLateWrites);
  CHECK_EQUAL(0, Create(entrance));
  CHECK(store.Find("a") == nullptr);
  CHECK(RunUntil(loop, [&] { return store.Find("a") != nullptr; }));
  store.Remove("a");
  CHECK_EQUAL(0, Create(entrance));
  store.Put("a", "of the operator");
  RunFor(loop, milliseconds(250));
  CHECK_EQUAL(std::string("of the operator"), *store.Find("a"));
}

TEST(StandIns, LeasesDoNotExpireWhileTheStoreIsAway) {
  const size_t entrance = store.AddEntrance();
  CHECK_EQUAL(200, Post(store.entrance(entrance), "/runshelf/kv-lease", {{"ttl_ms", 100}}));
  store.SetLeasesWait(true);
  RunFor(loop, milliseconds(200));
  CHECK_EQUAL(200, Post(store.entrance(entrance), "/runshelf/kv-keep/100", json::object()));
  store.SetLeasesWait(false);
  RunFor(loop, milliseconds(200));
  CHECK_EQUAL(404, Post(store.entrance(entrance), "/runshelf/kv-keep/100", json::object()));
}

TEST(StandIns, AGrantIsTakenLateAndUnanswered) {
  worker.Listen();
  bool late = false;
  worker.set_on_granted([&](const FakeWorker::Grant&, bool taken_late) { late = taken_late; });
  worker.set_order_faults([] { return FakeWorker::OrderFault{false, milliseconds(200)}; });
  CHECK_EQUAL(0, Order("grant", 0, 99, 1));
  CHECK(worker.Holds(7) == nullptr);
  CHECK(RunUntil(loop, [&] { return worker.Holds(7) != nullptr; }));
  CHECK(late);
}

TEST(StandIns, AReleaseIsAnsweredWhenNothingRunsOnItsKeys) {
  worker.Listen();
  bool busy = true;
  worker.set_busy_keys(
      [&](uint32_t first, uint32_t last) { return busy && first <= 7 && 7 <= last; });
  CHECK_EQUAL(200, Order("grant", 0, 99, 1));
  CHECK_EQUAL(200, Order("release", 50, 99, 2));
  CHECK_EQUAL(0, Order("release", 0, 49, 2));
  CHECK(worker.Holds(7) == nullptr);
  busy = false;
  CHECK_EQUAL(200, Order("release", 0, 49, 2));
}

// Answering a waiting release can deliver the next order of the same connection at once. FakeWorker
// used to answer a release that had been destroyed by then, and crashed.
TEST(StandIns, ReleasesThatWaitForWorkAreAnsweredInTurnOnEachConnection) {
  constexpr uint32_t kReleases = 20;
  struct Sender : public event::StreamObserver {
    void OnData(std::string_view data) override { received.append(data); }
    void OnConnected() override { stream->StartReading(); }
    void OnEnd(event::StreamEnd) override {}

    std::unique_ptr<event::TcpStream> stream;
    std::string received;
  };
  bool busy = true;
  uint32_t released = 0;
  worker.Listen();
  worker.set_busy_keys([&](uint32_t, uint32_t) { return busy; });
  worker.set_on_released([&](uint32_t, uint32_t) { ++released; });
  std::vector<Sender> senders(2);
  for (Sender& sender : senders) {
    sender.stream = event::TcpStream::Connect(loop, worker.endpoint(), &sender);
    for (uint32_t key = 0; key < kReleases; ++key) {
      http::RequestHead head;
      head.method = "POST";
      head.target = "/runshelf/release";
      head.headers.Add("Host", "h");
      const json body = {{"from_revision", key}, {"target_version", key}, {"fence", 5}};
      sender.stream->Write(http::SerializeRequest(head, body.dump()));
    }
  }
  RunFor(loop, milliseconds(50));
  CHECK_EQUAL(0, released);
  busy = false;
  CHECK(RunUntil(loop, [&] { return released == 2 * kReleases; }));
  RunFor(loop, milliseconds(20));
  for (Sender& sender : senders) {
    uint32_t answers = 0;
    for (size_t at = 0; (at = sender.received.find("HTTP/1.1 200", at)) != std::string::npos; ++at)
      ++answers;
    CHECK_EQUAL(kReleases, answers);
    sender.stream.reset();
  }
}
