#include "source/sidecar/remote_attempt.h"

#include <CppUTest/TestHarness.h>

#include <vector>

#include "source/http/server.h"
#include "tests/event/loop_runner.h"

using namespace runshelf;
using namespace runshelf::sidecar;
using event::RunUntil;

namespace {

// Records how an attempt ended.
class Outcome : public AttemptObserver {
 public:
  void OnAnswerHead(http::ResponseHead&&) override {}
  void OnAnswerBody(std::string_view) override {}
  void OnAnswerComplete() override { complete = true; }
  void OnAttemptFailure(const AttemptFailure& result) override { failure = result; }
  bool CallerGone() const override { return false; }
  bool over() const { return complete || failure.has_value(); }

  bool complete = false;
  std::optional<AttemptFailure> failure;
};

}  // namespace

TEST_GROUP(RemoteAttempt) {
  event::EventLoop loop;
  http::ConnectionPool pool{loop};
  PeerDirectory peers{"own", "z"};
  std::vector<http::ExchangePtr> held;
  http::Server peer{loop, [this](const http::ExchangePtr& exchange) { held.push_back(exchange); }};

  void setup() override { CHECK_EQUAL(0, peer.Listen({"127.0.0.1", 0})); }
  void teardown() override { held.clear(); }

  std::unique_ptr<RemoteAttempt> Send(Outcome * outcome) {
    AttemptRequest attempt;
    auto request = std::make_shared<http::Request>();
    request->head.method = "GET";
    request->head.target = "/";
    attempt.request = request;
    attempt.deadline = loop.Now() + std::chrono::seconds(1);
    attempt.answer_by = attempt.deadline;
    auto sent = std::make_unique<RemoteAttempt>(loop, pool, peers, "peer",
                                                event::Endpoint{"127.0.0.1", peer.bound_port()},
                                                attempt, outcome);
    sent->Begin();
    return sent;
  }
};

// Guards against reusing idle connections to a node that terminated. Each of them is broken, and
// each request sent on one would end as possibly run.
TEST(RemoteAttempt, AfterABrokenConnectionNoIdleOneIsReused) {
  Outcome first[2];
  const auto one = Send(&first[0]);
  const auto two = Send(&first[1]);
  CHECK(RunUntil(loop, [&] { return held.size() == 2; }));
  for (const auto& exchange : held) exchange->Respond(200, {}, "");
  CHECK(RunUntil(loop, [&] { return first[0].complete && first[1].complete; }));
  CHECK_EQUAL(2, pool.opened());
  Outcome broken;
  const auto third = Send(&broken);
  CHECK(RunUntil(loop, [&] { return held.size() == 3; }));
  held[2]->Abort();
  CHECK(RunUntil(loop, [&] { return broken.over(); }));
  CHECK(broken.failure->verdict == Verdict::kMayHaveRun);
  Outcome last;
  const auto fourth = Send(&last);
  CHECK_EQUAL(3, pool.opened());
}
