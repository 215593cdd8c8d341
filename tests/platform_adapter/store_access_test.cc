// Tests the store client, the prefix watcher and the lease keeper against a store with faults.

#include <CppUTest/TestHarness.h>

#include "platform/store_codec.h"
#include "source/store/lease_keeper.h"
#include "source/store/prefix_watcher.h"
#include "source/store/store_client.h"
#include "tests/event/loop_runner.h"
#include "tests/platform_adapter/fake_store.h"
#include "tests/soak/fault_proxy.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using event::RunFor;
using event::RunUntil;

namespace {

// Forwards marked requests to the store, as a peer does.
class TestRelay : public store::StoreRelay {
 public:
  TestRelay(event::EventLoop& loop, const event::Endpoint& store)
      : pool_(loop),
        codec_(),
        client_(loop, pool_, codec_, Config(store)),
        server_(loop, [this](const http::ExchangePtr& exchange) { ForwardForPeer(exchange); }) {
    server_.Listen({"127.0.0.1", 0});
  }

  std::optional<event::Endpoint> ChoosePeer() override {
    return event::Endpoint{"127.0.0.1", server_.bound_port()};
  }
  void MarkForRelay(http::Request* request) override { request->head.headers.Add("Relayed", "1"); }

  int forwarded = 0;

 private:
  static store::StoreClientConfig Config(const event::Endpoint& store) {
    store::StoreClientConfig config;
    config.endpoint = store;
    return config;
  }

  void ForwardForPeer(const http::ExchangePtr& exchange) {
    ++forwarded;
    http::Request request = exchange->request();
    request.head.headers.RemoveConnectionHeaders();
    client_.ForwardForPeer(request, std::chrono::seconds(3),
                           [exchange](const std::optional<http::Response>& response) {
                             if (response) exchange->Respond(response->status, {}, response->body);
                           });
  }

  http::ConnectionPool pool_;
  PlatformStoreCodec codec_;
  store::StoreClient client_;
  http::Server server_;
};

bool IsDirect(const http::Request& request) { return !request.head.headers.Has("Relayed"); }

}  // namespace

TEST_GROUP(StoreAccess) {
  event::EventLoop loop;
  FakeStore fake{loop};
  http::ConnectionPool pool{loop};
  PlatformStoreCodec codec;
  store::StoreClient client{loop, pool, codec, Config()};

  store::StoreClientConfig Config() {
    store::StoreClientConfig config;
    config.endpoint = fake.endpoint();
    config.call_timeout = std::chrono::milliseconds(60);
    config.relayed_watch_wait = std::chrono::milliseconds(100);
    return config;
  }

  store::CommitResult Commit(const store::Transaction& transaction) {
    store::CommitResult committed;
    bool over = false;
    client.Commit(transaction, [&](absl::StatusOr<store::CommitResult> result) {
      CHECK(result.ok());
      committed = *result;
      over = true;
    });
    CHECK(RunUntil(loop, [&] { return over; }));
    return committed;
  }
};

TEST(StoreAccess, ACommitHappensOnlyUnderItsConditions) {
  store::Transaction transaction;
  transaction.conditions.push_back({"k", 0});
  transaction.puts.push_back({"k", "a", 0});
  const auto first = Commit(transaction);
  CHECK(first.outcome == store::CommitOutcome::kCommitted);
  const auto second = Commit(transaction);
  CHECK(second.outcome == store::CommitOutcome::kConflict);
  CHECK_EQUAL(first.revision, second.found[0].revision);
  STRCMP_EQUAL("a", fake.Find("k")->c_str());
}

// Guards against calls whose cause an operator cannot tell.
TEST(StoreAccess, CallsAndConflictsAreCountedByCause) {
  store::Transaction transaction;
  transaction.purpose = "test";
  transaction.conditions.push_back({"k", 0});
  transaction.puts.push_back({"k", "a", 0});
  Commit(transaction);
  Commit(transaction);
  transaction.purpose = "another";
  Commit(transaction);
  const auto& causes = client.calls_by_cause();
  CHECK_EQUAL(2, causes.at({"write", "test"}).sent);
  CHECK_EQUAL(1, causes.at({"write", "test"}).conflicts);
  CHECK_EQUAL(1, causes.at({"write", "another"}).conflicts);
  bool over = false;
  client.Range("k", "", [&](const absl::StatusOr<store::RangePage>&) { over = true; });
  CHECK(RunUntil(loop, [&] { return over; }));
  CHECK_EQUAL(1, causes.at({"read", "k"}).sent);
}

// After a restore the store assigns the counter of the condition's revision again, to another
// change of the item.
TEST(StoreAccess, AConditionFromAFormerEraHoldsForNoItem) {
  const auto copy = fake.TakeCopy();
  store::Transaction first;
  first.puts.push_back({"k", "a", 0});
  const store::Revision known = Commit(first).revision;
  fake.Restore(*copy);
  const store::Revision given_again = Commit(first).revision;
  CHECK_EQUAL(store::CounterOf(known), store::CounterOf(given_again));
  CHECK(given_again > known);
  store::Transaction second;
  second.conditions.push_back({"k", known});
  second.puts.push_back({"k", "b", 0});
  const auto conflict = Commit(second);
  CHECK(conflict.outcome == store::CommitOutcome::kConflict);
  CHECK_EQUAL(given_again, conflict.found[0].revision);
  STRCMP_EQUAL("a", fake.Find("k")->c_str());
}

// Guards against using several dead connections one after another: the leader's watch was pending
// on one of them for 25 s, and no node received a change.
TEST(StoreAccess, NoCallUsesAnotherOpenConnectionOnceOneIsDead) {
  soak::FaultProxy proxy(loop, fake.endpoint());
  proxy.Listen("127.0.0.1");
  store::StoreClientConfig config = Config();
  config.endpoint = proxy.endpoint();
  store::StoreClient disturbed(loop, pool, codec, config);
  int answered = 0;
  int failed = 0;
  const auto count = [&](const absl::StatusOr<store::RangePage>& page) {
    ++(page.ok() ? answered : failed);
  };
  constexpr int kConnections = 4;
  for (int call = 0; call < kConnections; ++call) disturbed.Range("", "", count);
  CHECK(RunUntil(loop, [&] { return answered == kConnections; }));
  proxy.SilenceOpenConnections();
  disturbed.Range("", "", count);
  CHECK(RunUntil(loop, [&] { return failed == 1; }));
  bool heard = false;
  disturbed.Watch("", 0, [&](const absl::StatusOr<store::WatchPage>& page) { heard = page.ok(); });
  fake.Put("k", "v");
  CHECK(RunUntil(
      loop, [&] { return heard; }, std::chrono::milliseconds(500)));
}

// Guards against a node that leads the state feed because a peer relays its calls, while the store
// itself does not answer it.
TEST(StoreAccess, AnAnswerThroughAPeerDoesNotCountAsTheStoresOwn) {
  TestRelay relay(loop, fake.endpoint());
  client.set_relay(&relay);
  fake.Put("k", "v");
  const auto read = [&] {
    bool answered = false;
    client.Range("", "", [&](const absl::StatusOr<store::RangePage>&) { answered = true; });
    CHECK(RunUntil(loop, [&] { return answered; }));
  };
  CHECK(client.answered_directly_at() == Instant{});
  read();
  const Instant first = client.answered_directly_at();
  CHECK(first > Instant{});
  fake.set_fault(FakeStore::Fault::kRefuse);
  fake.set_fault_filter(IsDirect);
  read();
  CHECK(relay.forwarded > 0);
  CHECK(client.answered_directly_at() == first);
}

TEST(StoreAccess, ACallGoesThroughAPeerWhileTheDirectPathFails) {
  TestRelay relay(loop, fake.endpoint());
  client.set_relay(&relay);
  fake.Put("k", "v");
  for (const auto fault : {FakeStore::Fault::kRefuse, FakeStore::Fault::kSilent}) {
    fake.set_fault(fault);
    fake.set_fault_filter(IsDirect);
    bool over = false;
    client.Range("", "", [&](absl::StatusOr<store::RangePage> page) {
      CHECK(page.ok());
      CHECK_EQUAL(1, page->items.size());
      over = true;
    });
    CHECK(RunUntil(loop, [&] { return over; }));
  }
  CHECK(relay.forwarded > 0);
}

TEST(StoreAccess, WithoutAnyPathTheOutcomeIsUnknown) {
  fake.set_fault(FakeStore::Fault::kSilent);
  bool over = false;
  client.Range("", "", [&](const absl::StatusOr<store::RangePage>& page) {
    CHECK(absl::IsUnknown(page.status()));
    over = true;
  });
  CHECK(RunUntil(loop, [&] { return over; }));
  CHECK_FALSE(client.reachable());
}

// Guards against doubled load on a store that is unreachable for all nodes: each attempt of each
// node sent two calls, its own and one through a peer.
TEST(StoreAccess, ANodeThatTheStoreDoesNotAnswerForwardsNoCalls) {
  fake.set_fault(FakeStore::Fault::kRefuse);
  bool over = false;
  client.Range("", "", [&](const absl::StatusOr<store::RangePage>&) { over = true; });
  CHECK(RunUntil(loop, [&] { return over; }));
  const uint64_t calls = fake.calls("/runshelf/kv-range");
  std::optional<http::Response> answer;
  client.ForwardForPeer(
      codec.EncodeRange("", ""), std::chrono::seconds(1),
      [&](std::optional<http::Response> response) { answer = std::move(response); });
  CHECK(RunUntil(loop, [&] { return answer.has_value(); }));
  CHECK_EQUAL(503, answer->status);
  CHECK_EQUAL(calls, fake.calls("/runshelf/kv-range"));
}

TEST_GROUP(PrefixWatcher) {
  event::EventLoop loop;
  FakeStore fake{loop};
  http::ConnectionPool pool{loop};
  PlatformStoreCodec codec;
  store::StoreClient client{loop, pool, codec, Config()};
  std::map<std::string, std::string> seen;
  store::PrefixWatcher watcher{
      loop,
      client,
      WatchConfig(),
      {[this](const store::Item& item) { seen[item.key] = item.value; },
       [this](const std::string& key) { seen.erase(key); }, nullptr, nullptr}};

  store::StoreClientConfig Config() {
    store::StoreClientConfig config;
    config.endpoint = fake.endpoint();
    config.call_timeout = std::chrono::milliseconds(100);
    return config;
  }

  static store::PrefixWatcherConfig WatchConfig() {
    store::PrefixWatcherConfig config;
    config.prefix = "p/";
    config.coalesce = std::chrono::milliseconds(1);
    config.retry_min = std::chrono::milliseconds(5);
    return config;
  }
};

TEST(PrefixWatcher, ItFollowsWhatIsWrittenAndRemoved) {
  for (int index = 0; index < 8; ++index) fake.Put("p/" + std::to_string(index), "old");
  fake.Put("other", "x");
  watcher.Start();
  CHECK(RunUntil(loop, [&] { return seen.size() == 8; }));
  fake.Put("p/0", "new");
  CHECK(RunUntil(loop, [&] { return seen["p/0"] == "new"; }));
  fake.Remove("p/1");
  CHECK(RunUntil(loop, [&] { return !seen.contains("p/1"); }));
  CHECK_FALSE(seen.contains("other"));
}

// Guards against a node that takes over the distribution of the state although the store does not
// answer it. The store is silent until a watch or a read is answered.
TEST(PrefixWatcher, AnUnansweredWatchIsKnownUntilTheStoreAnswers) {
  watcher.Start();
  CHECK(RunUntil(loop, [&] { return watcher.synchronized(); }));
  watcher.SetConfirming(true);
  CHECK_FALSE(watcher.store_is_silent());
  fake.set_fault(FakeStore::Fault::kSilent);
  fake.Put("p/0", "value");  // Answers the pending watch; the next one gets no response.
  CHECK(RunUntil(loop, [&] { return watcher.store_is_silent(); }));
  fake.set_fault(FakeStore::Fault::kNone);
  CHECK(RunUntil(loop, [&] { return !watcher.store_is_silent(); }));
}

// A watch that receives nothing and is then closed must cause a new read immediately. Guards
// against handing the watch to a peer with its long wait, which delayed a configuration by seconds.
TEST(PrefixWatcher, AClosedWatchCausesAReadAtOnce) {
  watcher.Start();
  CHECK(RunUntil(loop, [&] { return watcher.synchronized(); }));
  RunFor(loop, std::chrono::milliseconds(20));
  fake.set_watches_silent(true);
  fake.Put("p/a", "1");
  fake.Put("p/b", "1");
  fake.Remove("p/b");
  RunFor(loop, std::chrono::milliseconds(20));
  CHECK(seen.empty());
  fake.set_watches_silent(false);
  fake.CompactAndCutWatches();
  CHECK(RunUntil(
      loop, [&] { return seen.contains("p/a"); }, std::chrono::milliseconds(500)));
  CHECK_FALSE(seen.contains("p/b"));
}

TEST(PrefixWatcher, ManyChangesCostFewCalls) {
  watcher.set_pace({std::chrono::milliseconds(100), 2});
  watcher.Start();
  CHECK(RunUntil(loop, [&] { return watcher.synchronized(); }));
  const uint64_t calls = fake.calls("/runshelf/kv-watch");
  const Instant start = loop.Now();
  for (int change = 0; change < 100; ++change) {
    fake.Put("p/" + std::to_string(change), "v");
    RunFor(loop, std::chrono::milliseconds(5));
  }
  CHECK(RunUntil(loop, [&] { return seen.size() == 100; }));
  // One call per interval, a burst of two, the pending one, and one for the last, partial interval.
  const auto intervals =
      static_cast<uint64_t>((loop.Now() - start) / std::chrono::milliseconds(100));
  CHECK(fake.calls("/runshelf/kv-watch") - calls <= intervals + 4);
}

TEST(PrefixWatcher, AReadThatFailedIsTriedAtOnceWhenTheStoreAnswersAgain) {
  fake.Put("p/a", "1");
  fake.set_fault(FakeStore::Fault::kRefuse);
  watcher.Start();
  RunFor(loop, std::chrono::milliseconds(700));
  fake.set_fault(FakeStore::Fault::kNone);
  watcher.RetryNow();
  // Without RetryNow it would wait for most of another 640 ms.
  CHECK(RunUntil(
      loop, [&] { return watcher.synchronized(); }, std::chrono::milliseconds(300)));
}

// Guards against a node that knows that it is behind but does not ask its peers, because a failed
// read of the store waits up to three seconds for its retry.
TEST(PrefixWatcher, AReadThatFailedDoesNotKeepItFromAskingOthers) {
  fake.Put("p/a", "1");
  watcher.Start();
  CHECK(RunUntil(loop, [&] { return watcher.synchronized(); }));
  watcher.SetFollowing(true);
  int asked = 0;
  watcher.set_fetch_from_peer([&](const std::function<void(bool)>& done) {
    ++asked;
    store::ChangeSet copy;
    copy.complete = true;
    copy.to = watcher.revision() + 7;
    copy.events = {{{"p/a", "2", copy.to, 0}, false}};
    watcher.ApplyChanges(copy);
    done(true);
  });
  fake.set_fault(FakeStore::Fault::kRefuse);
  watcher.Refresh();
  RunFor(loop, std::chrono::milliseconds(300));
  watcher.CatchUp(watcher.revision() + 7);
  CHECK_EQUAL(1, asked);
  STRCMP_EQUAL("2", seen["p/a"].c_str());
  // The store is still read once it responds, as the read may be needed to confirm a lease.
  fake.set_fault(FakeStore::Fault::kNone);
  const uint64_t reads = fake.calls("/runshelf/kv-range");
  CHECK(RunUntil(loop, [&] { return fake.calls("/runshelf/kv-range") > reads; }));
}

TEST(PrefixWatcher, ItReadsAgainWhenTheHistoryIsGone) {
  fake.Put("p/a", "1");
  watcher.Start();
  CHECK(RunUntil(loop, [&] { return seen.size() == 1; }));
  fake.set_fault(FakeStore::Fault::kRefuse);
  watcher.Refresh();
  RunFor(loop, std::chrono::milliseconds(30));
  fake.Remove("p/a");
  fake.Put("p/b", "2");
  fake.CompactAndCutWatches();
  fake.set_fault(FakeStore::Fault::kNone);
  CHECK(RunUntil(loop, [&] { return seen.contains("p/b") && !seen.contains("p/a"); }));
}

TEST_GROUP(LeaseKeeper) {
  event::EventLoop loop;
  FakeStore fake{loop};
  http::ConnectionPool pool{loop};
  PlatformStoreCodec codec;
  store::StoreClient client{loop, pool, codec, Config()};
  store::LeaseKeeper keeper{loop, client, KeeperConfig()};

  store::StoreClientConfig Config() {
    store::StoreClientConfig config;
    config.endpoint = fake.endpoint();
    config.call_timeout = std::chrono::milliseconds(40);
    return config;
  }

  static store::LeaseKeeperConfig KeeperConfig() {
    store::LeaseKeeperConfig config;
    config.time_to_live = std::chrono::milliseconds(400);
    config.renewal_interval = std::chrono::milliseconds(60);
    config.retry_interval = std::chrono::milliseconds(20);
    config.safety_margin = std::chrono::milliseconds(20);
    config.key = "node";
    return config;
  }

  void Announce() {
    keeper.SetValue("v1");
    keeper.Start();
    CHECK(RunUntil(loop, [&] { return keeper.announced(); }));
  }
};

TEST(LeaseKeeper, ValuesThatAreSetTogetherCostOneCall) {
  Announce();
  const uint64_t calls = fake.calls("/runshelf/kv-txn");
  const store::LeaseId lease = keeper.lease();
  keeper.SetValue("v2");
  keeper.SetValue("v3");
  CHECK(RunUntil(loop, [&] { return keeper.announced(); }));
  STRCMP_EQUAL("v3", fake.Find("node")->c_str());
  // If the lease expired on a busy machine, the item is written once more.
  const uint64_t leases_lost = keeper.lease() == lease ? 0 : 1;
  CHECK(fake.calls("/runshelf/kv-txn") <= calls + 1 + leases_lost);
}

TEST(LeaseKeeper, TheItemStaysWhileTheLeaseIsRenewed) {
  Announce();
  RunFor(loop, std::chrono::milliseconds(900));
  STRCMP_EQUAL("v1", fake.Find("node")->c_str());
  CHECK(keeper.ValidUntil() > loop.Now());
}

// Guards against renewals that are skipped because the timer fires slightly early: the next one
// follows an interval later, and the lease is shorter by that when the store becomes unreachable.
TEST(LeaseKeeper, NoRenewalIsSkipped) {
  Announce();
  Instant latest = loop.Now();
  uint64_t renewals = fake.calls("/runshelf/kv-keep");
  int in_time = 0;
  int skipped = 0;
  RunUntil(
      loop,
      [&] {
        if (fake.calls("/runshelf/kv-keep") == renewals) return false;
        renewals = fake.calls("/runshelf/kv-keep");
        // Twice the interval of 60 ms, minus timer rounding.
        const bool late = loop.Now() - latest >= std::chrono::milliseconds(115);
        ++(late ? skipped : in_time);
        latest = loop.Now();
        return false;
      },
      std::chrono::seconds(3));
  // Tolerates single late renewals on a busy machine.
  CHECK(in_time > 10);
  CHECK(skipped <= in_time / 8);
}

TEST(LeaseKeeper, ValidityCountsFromBeforeTheRenewalAndEndsByItself) {
  Announce();
  fake.set_fault(FakeStore::Fault::kSilent);
  const Instant until = keeper.ValidUntil();
  CHECK(until <= loop.Now() + std::chrono::milliseconds(400));
  RunFor(loop, std::chrono::milliseconds(450));
  CHECK(keeper.ValidUntil() < loop.Now());
}

TEST(LeaseKeeper, AnItemRemovedWithItsLeaseIsWrittenUnderANewOne) {
  int leases = 0;
  keeper.set_on_new_lease([&] { ++leases; });
  Announce();
  const store::LeaseId first = keeper.lease();
  fake.LapseLeases();
  POINTERS_EQUAL(nullptr, fake.Find("node"));
  CHECK(RunUntil(loop, [&] { return leases == 2; }));
  CHECK(keeper.lease() != first);
  STRCMP_EQUAL("v1", fake.Find("node")->c_str());
}

// A write whose response is lost may be applied late; it must not overwrite a later one.
TEST(LeaseKeeper, ALostAnswerDoesNotStopTheNextValue) {
  Announce();
  fake.set_fault(FakeStore::Fault::kLoseWrites);
  keeper.SetValue("v2");
  RunFor(loop, std::chrono::milliseconds(30));
  fake.set_fault(FakeStore::Fault::kNone);
  keeper.SetValue("v3");
  CHECK(RunUntil(loop, [&] { return keeper.announced(); }));
  STRCMP_EQUAL("v3", fake.Find("node")->c_str());
}

// Guards against an item that keeps the value of a write whose response was lost. It happened when
// that write was applied and the value then changed back to the previous one, for example when a
// worker was lost for a moment and found again.
TEST(LeaseKeeper, AValueThatGoesBackIsWrittenOverOneWithoutAnAnswer) {
  Announce();
  fake.set_fault(FakeStore::Fault::kLoseWrites);
  keeper.SetValue("v2");
  CHECK(RunUntil(loop, [&] { return *fake.Find("node") == "v2"; }));
  keeper.SetValue("v1");
  fake.set_fault(FakeStore::Fault::kNone);
  CHECK(RunUntil(
      loop, [&] { return *fake.Find("node") == "v1"; }, std::chrono::seconds(3)));
}

TEST(LeaseKeeper, EndingItRemovesTheItem) {
  Announce();
  keeper.End();
  CHECK(RunUntil(loop, [&] { return fake.Find("node") == nullptr; }));
  CHECK(keeper.ValidUntil() == Instant{});
}
