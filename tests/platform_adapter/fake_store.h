// The platform's store for tests, on the test's own event loop, with the faults of the real one.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "source/event/event_loop.h"
#include "source/http/server.h"

namespace runshelf::platform_adapter {

class FakeStore {
 public:
  explicit FakeStore(event::EventLoop& loop);

  event::Endpoint endpoint() const { return {"127.0.0.1", server_.bound_port()}; }
  // A further address of the same store, for a caller that is to be told apart; returns its number.
  size_t AddEntrance();
  event::Endpoint entrance(size_t number) const;

  // What the operator does; never fails.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  const std::string* Find(const std::string& key) const;

  enum class Fault {
    kNone,
    kRefuse,      // 503 to everything.
    kThrottle,    // 429 to everything.
    kReset,       // The connection ends without an answer.
    kSilent,      // No answer to anything.
    kLoseWrites,  // Writes are done and not answered.
    kHoldWrites,  // Transactions are not answered, and not done before CarryOutHeld().
    kLateWrites,  // Some writes are done and not answered, others are done late, see set_lateness.
  };
  void set_fault(Fault fault) { fault_ = fault; }
  // Hits the callers of one entrance only; the fault of the whole store goes before it.
  void set_entrance_fault(size_t number, Fault fault) { entrances_[number].fault = fault; }
  // Under kLateWrites: how long after its arrival a transaction is tried; zero: at once.
  void set_lateness(std::function<Duration()> lateness) { lateness_ = std::move(lateness); }
  // Time between what a call does and its answer; none when not set.
  void set_latency(std::function<Duration()> latency) { latency_ = std::move(latency); }
  // While true no lease runs out; afterwards each has as long as it had left.
  void SetLeasesWait(bool wait);
  // Applies to calls that this predicate picks only; all, when empty.
  void set_fault_filter(std::function<bool(const http::Request&)> filter) {
    fault_filter_ = std::move(filter);
  }
  // Does the transactions that were held, those whose conditions still hold, without an answer.
  void CarryOutHeld();
  size_t held() const { return held_.size(); }
  // Forgets the history and cuts all watches, as after a silence.
  void CompactAndCutWatches();
  // While silent, watches hear nothing of changes.
  void set_watches_silent(bool silent) { watches_silent_ = silent; }
  // Ends every lease now.
  void LapseLeases();

  // What the store holds at one moment.
  struct Copy;
  std::shared_ptr<const Copy> TakeCopy() const;
  // Comes back from a copy that was taken earlier: what nodes wrote since then is gone, leases too,
  // and revisions and lease ids are given out again. What the operator wrote is written again.
  void Restore(const Copy& copy);

  // What is read of a key is changed by this filter, from the value as it was written. Lets a test
  // put itself between nodes that find each other through the store.
  using ValueFilter = std::function<std::string(const std::string& key, const std::string& value)>;
  void set_value_filter(ValueFilter filter) { value_filter_ = std::move(filter); }

  // Calls received, by path.
  uint64_t calls(const std::string& path) const;

 private:
  struct Entry {
    std::string value;  // In base64.
    int64_t revision = 0;
    int64_t made = 0;
    int64_t lease = 0;
  };
  struct Lease {
    std::unique_ptr<event::Timer> timer;
    int64_t time_to_live_ms = 0;
    Instant ends{};
    Duration left{};  // Of one that waits.
  };
  struct Entrance {
    std::unique_ptr<http::Server> server;
    Fault fault = Fault::kNone;
  };
  // What became of a transaction, as the answer to it says.
  struct Verdict {
    int status = 0;
    nlohmann::json body;
  };
  struct Watch {
    http::ExchangePtr exchange;
    std::string prefix;
    int64_t after = 0;
    std::unique_ptr<event::Timer> timer;
  };
  struct Change {
    std::string key;
    int64_t revision = 0;
    nlohmann::json event;
  };

  void Handle(const http::ExchangePtr& exchange, Fault entrance_fault);
  void Perform(const http::ExchangePtr& exchange, const std::string& path, Fault fault);
  void HandleRange(const http::ExchangePtr& exchange);
  void HandleWatch(const http::ExchangePtr& exchange);
  void HandleTransaction(const http::ExchangePtr& exchange, Fault fault);
  Verdict DoTransaction(const nlohmann::json& body);
  void DoLater(Duration delay, std::function<void()> action);
  void HandleLease(const http::ExchangePtr& exchange, bool answer);
  void HandleKeep(const http::ExchangePtr& exchange, int64_t id);
  void AddLease(int64_t id, int64_t time_to_live_ms);
  void RestartLease(Lease* lease, Duration time);
  void EndLease(int64_t id);
  void Write(const std::string& key, const std::string& encoded, int64_t lease);
  void Erase(const std::string& key);
  void Record(const std::string& key, nlohmann::json event);
  bool AnswerWatch(Watch* watch);
  void AnswerWatches();
  nlohmann::json ItemOf(const std::string& key, const Entry& entry) const;
  void Reply(const http::ExchangePtr& exchange, int status, const nlohmann::json& body);

  event::EventLoop& loop_;
  http::Server server_;
  std::map<std::string, Entry> entries_;
  std::map<int64_t, Lease> leases_;
  std::vector<std::unique_ptr<Watch>> watches_;
  std::vector<Change> history_;
  std::map<std::string, uint64_t> calls_;
  std::vector<http::ExchangePtr> unanswered_;
  std::vector<http::ExchangePtr> held_;  // Transactions.
  std::vector<Entrance> entrances_;
  std::vector<std::unique_ptr<event::Timer>> later_;
  std::function<Duration()> lateness_;
  std::function<Duration()> latency_;
  std::function<bool(const http::Request&)> fault_filter_;
  ValueFilter value_filter_;
  Fault fault_ = Fault::kNone;
  int64_t era_ = 0;
  int64_t revision_ = 0;
  int64_t compacted_ = 0;
  int64_t next_lease_ = 100;
  bool watches_silent_ = false;
  bool leases_wait_ = false;
};

}  // namespace runshelf::platform_adapter
