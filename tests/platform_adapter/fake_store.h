// Test double of the platform's key-value store, with injectable faults. Runs on the test's event
// loop.
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

// An in-memory key-value store with revisions, transactions, watches and leases behind the
// platform's HTTP interface.
class FakeStore {
 public:
  explicit FakeStore(event::EventLoop& loop);

  event::Endpoint endpoint() const { return {"127.0.0.1", server_.bound_port()}; }
  // Opens an additional listening address of the same store, so that faults can be injected for the
  // clients of that address only. Returns its number.
  size_t AddEntrance();
  event::Endpoint entrance(size_t number) const;

  // Reads and writes as the operator does; not subject to injected faults.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  const std::string* Find(const std::string& key) const;

  enum class Fault {
    kNone,
    kRefuse,      // Responds 503 to every request.
    kThrottle,    // Responds 429 to every request.
    kReset,       // Closes the connection without a response.
    kSilent,      // Never responds.
    kLoseWrites,  // Writes are applied but get no response.
    kHoldWrites,  // Transactions get no response and are applied by CarryOutHeld().
    kLateWrites,  // Writes get no response; some are applied late, see set_lateness.
  };
  void set_fault(Fault fault) { fault_ = fault; }
  // Affects only the clients of one entrance; a fault of the whole store takes precedence.
  void set_entrance_fault(size_t number, Fault fault) { entrances_[number].fault = fault; }
  // Under kLateWrites: delay between a transaction's arrival and its execution; zero: none.
  void set_lateness(std::function<Duration()> lateness) { lateness_ = std::move(lateness); }
  // Delay between the execution of a request and its response; none when unset.
  void set_latency(std::function<Duration()> latency) { latency_ = std::move(latency); }
  // While true, lease expiry is suspended; afterwards each lease resumes with its remaining time.
  void SetLeasesWait(bool wait);
  // Restricts the fault to requests that match the predicate; all requests when empty.
  void set_fault_filter(std::function<bool(const http::Request&)> filter) {
    fault_filter_ = std::move(filter);
  }
  // Executes the held transactions whose conditions still hold; they get no response.
  void CarryOutHeld();
  size_t held() const { return held_.size(); }
  // Compacts the change history and closes all watches, as after a long outage.
  void CompactAndCutWatches();
  // While true, watches stay open but deliver no changes.
  void set_watches_silent(bool silent) { watches_silent_ = silent; }
  // Forgets the watches that are pending: they get no response, as if their connections were dead.
  void LosePendingWatches();
  // Expires every lease immediately.
  void LapseLeases();

  // Snapshot of the store's contents.
  struct Copy;
  std::shared_ptr<const Copy> TakeCopy() const;
  // Restores the store from an earlier snapshot: later writes of nodes and later leases are lost,
  // and revisions and lease ids are assigned again. The operator's items are written again.
  void Restore(const Copy& copy);

  // Transforms the values that clients read. Lets a test rewrite node records, for instance to put
  // a proxy between nodes that discover each other through the store.
  using ValueFilter = std::function<std::string(const std::string& key, const std::string& value)>;
  void set_value_filter(ValueFilter filter) { value_filter_ = std::move(filter); }

  // Number of requests received for the path.
  uint64_t calls(const std::string& path) const;

 private:
  struct Entry {
    std::string value;  // Base64-encoded.
    int64_t revision = 0;
    int64_t made = 0;
    int64_t lease = 0;
  };
  struct Lease {
    std::unique_ptr<event::Timer> timer;
    int64_t time_to_live_ms = 0;
    Instant ends{};
    Duration left{};  // Remaining time while expiry is suspended.
  };
  struct Entrance {
    std::unique_ptr<http::Server> server;
    Fault fault = Fault::kNone;
  };
  // HTTP status and body of the response to a transaction.
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
  std::vector<http::ExchangePtr> held_;  // Transactions under kHoldWrites.
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
