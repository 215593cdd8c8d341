// Writes the handovers of released shards to the shard map for all nodes of a service.
//
// Runs on the node that also balances the load, so that its changes do not conflict with the
// planner's. A node that gets no answer, or a refusal, writes its handover itself: either change
// makes the other one fail.
#pragma once

#include <functional>
#include <map>

#include "source/event/event_loop.h"
#include "source/sidecar/handover_batch.h"
#include "source/sidecar/log_writer.h"
#include "source/sidecar/shard_store.h"

namespace runshelf::sidecar {

// Not thread-safe. All references must outlive the writer.
class HandoverWriter {
 public:
  // Receives whether the store holds the handover. False: the sender should write it itself.
  using Callback = std::function<void(bool written)>;

  HandoverWriter(event::EventLoop& loop, ShardStore& shards, std::string service, LogWriter& log);

  // Called after each attempt to change the map.
  void set_on_committed(std::function<void()> callback) { on_committed_ = std::move(callback); }
  // Writes the handover together with others.
  void Add(HandoverReport report, Callback callback);

 private:
  void Schedule();
  void Write();
  void OnOutcome(const HandoverBatch::Change& change, ShardStore::Outcome outcome);
  void Finish(const std::vector<HandoverBatch::Ticket>& tickets, bool written);
  bool CanWrite() const;

  event::EventLoop& loop_;
  ShardStore& shards_;
  std::string service_;
  LogWriter& log_;
  event::Timer timer_;
  HandoverBatch batch_;
  std::map<HandoverBatch::Ticket, Callback> callbacks_;
  std::function<void()> on_committed_;
  int conflicts_ = 0;  // Consecutive.
};

}  // namespace runshelf::sidecar
