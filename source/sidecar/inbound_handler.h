// Serves what other nodes send here: requests for the worker beside this node, calls to the store
// to be passed on, and changes of the state in the store.
#pragma once

#include <memory>
#include <unordered_map>

#include "source/http/server.h"
#include "source/sidecar/answer_pacer.h"
#include "source/sidecar/log_writer.h"
#include "source/sidecar/request_counts.h"
#include "source/sidecar/state_feed.h"
#include "source/sidecar/worker_gate.h"
#include "source/store/store_client.h"

namespace runshelf::sidecar {

class InboundHandler {
 public:
  // `link_bytes_per_second` is the bandwidth of the machine's link; zero: no bound.
  InboundHandler(event::EventLoop& loop, WorkerGate& gate, store::StoreClient& store,
                 StateFeed& feed, LogWriter& log, double link_bytes_per_second);
  ~InboundHandler();

  void Handle(const http::ExchangePtr& exchange);
  RequestCounts UnderWay() const;
  // Writes a line for each request under way: the process ends without its answer.
  void LogCut() const;

 private:
  class Forward;

  void PassToStore(const http::ExchangePtr& exchange);
  void Forget(Forward* forward);

  event::EventLoop& loop_;
  WorkerGate& gate_;
  store::StoreClient& store_;
  StateFeed& feed_;
  LogWriter& log_;
  AnswerPacer pacer_;
  std::unordered_map<Forward*, std::shared_ptr<Forward>> forwards_;
};

}  // namespace runshelf::sidecar
