// Handles messages from other nodes: requests for the local worker, calls to be forwarded to the
// store, changes and snapshots of the stored state, and reports of exited workers and of released
// shards.
#pragma once

#include <memory>
#include <unordered_map>

#include "source/http/server.h"
#include "source/sidecar/answer_pacer.h"
#include "source/sidecar/handover_writer.h"
#include "source/sidecar/log_writer.h"
#include "source/sidecar/request_counts.h"
#include "source/sidecar/request_quarantine.h"
#include "source/sidecar/state_feed.h"
#include "source/sidecar/stop_schedule.h"
#include "source/sidecar/worker_gate.h"
#include "source/store/store_client.h"

namespace runshelf::sidecar {

// Used on the thread of the event loop only. The objects passed to the constructor must outlive it.
class InboundHandler {
 public:
  // `link_bytes_per_second` is the bandwidth of the machine's network link; zero means unlimited.
  InboundHandler(event::EventLoop& loop, WorkerGate& gate, store::StoreClient& store,
                 StateFeed& feed, RequestQuarantine& quarantine, HandoverWriter& handovers,
                 LogWriter& log, const StopSchedule& stop, double link_bytes_per_second);
  ~InboundHandler();

  // Handles one message of another node; responds with 400 if it cannot be decoded.
  void Handle(const http::ExchangePtr& exchange);
  // Number of requests in progress.
  RequestCounts UnderWay() const;
  // Number of requests refused because the node is stopping.
  uint64_t refused_in_stop() const { return refused_in_stop_; }
  // Logs each request in progress. Call when the process exits without answering them.
  void LogUnfinished() const;
  // Large answers that wait for their share of the link.
  PacerBacklog pacer_backlog() const { return pacer_.backlog(); }

 private:
  class Forward;

  void AddHandover(const http::ExchangePtr& exchange);
  void ForwardToStore(const http::ExchangePtr& exchange);
  bool Accepts(const AttemptRequest& attempt) const;
  // By when the complete answer is wanted, and by when it can still be of use.
  Instant AnswerBy(const AttemptRequest& attempt) const;
  Instant AnswerDeadline(const AttemptRequest& attempt) const;
  // Adds the headers that every answer carries: the load of the local worker, and the notice that
  // this node is stopping.
  void AddNodeState(http::Headers* headers) const;
  void RemoveForward(Forward* forward);

  event::EventLoop& loop_;
  WorkerGate& gate_;
  store::StoreClient& store_;
  StateFeed& feed_;
  RequestQuarantine& quarantine_;
  HandoverWriter& handovers_;
  LogWriter& log_;
  const StopSchedule& stop_;
  uint64_t refused_in_stop_ = 0;
  AnswerPacer pacer_;
  std::unordered_map<Forward*, std::shared_ptr<Forward>> forwards_;
};

}  // namespace runshelf::sidecar
