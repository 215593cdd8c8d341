// Serves what other nodes send here: requests for the worker beside this node, calls to the store
// to be passed on, and changes of the state in the store.
#pragma once

#include <memory>
#include <unordered_map>

#include "source/http/server.h"
#include "source/sidecar/answer_pacer.h"
#include "source/sidecar/log_writer.h"
#include "source/sidecar/request_counts.h"
#include "source/sidecar/request_quarantine.h"
#include "source/sidecar/state_feed.h"
#include "source/sidecar/stop_schedule.h"
#include "source/sidecar/worker_gate.h"
#include "source/store/store_client.h"

namespace runshelf::sidecar {

class InboundHandler {
 public:
  // `link_bytes_per_second` is the bandwidth of the machine's link; zero: no bound.
  InboundHandler(event::EventLoop& loop, WorkerGate& gate, store::StoreClient& store,
                 StateFeed& feed, RequestQuarantine& quarantine, LogWriter& log,
                 const StopSchedule& stop, double link_bytes_per_second);
  ~InboundHandler();

  void Handle(const http::ExchangePtr& exchange);
  RequestCounts UnderWay() const;
  // Requests that were refused since the node stops.
  uint64_t refused_in_stop() const { return refused_in_stop_; }
  // Writes a line for each request under way: the process ends without its answer.
  void LogUnfinished() const;

 private:
  class Forward;

  void ForwardToStore(const http::ExchangePtr& exchange);
  bool Accepts(const AttemptRequest& attempt) const;
  // What each answer tells of this node.
  void AddNodeState(http::Headers* headers) const;
  void RemoveForward(Forward* forward);

  event::EventLoop& loop_;
  WorkerGate& gate_;
  store::StoreClient& store_;
  StateFeed& feed_;
  RequestQuarantine& quarantine_;
  LogWriter& log_;
  const StopSchedule& stop_;
  uint64_t refused_in_stop_ = 0;
  AnswerPacer pacer_;
  std::unordered_map<Forward*, std::shared_ptr<Forward>> forwards_;
};

}  // namespace runshelf::sidecar
