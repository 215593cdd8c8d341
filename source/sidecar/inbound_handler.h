// Serves what other nodes send here: requests for the worker beside this node, and calls to the
// store to be passed on.
#pragma once

#include <memory>
#include <unordered_map>

#include "source/http/server.h"
#include "source/sidecar/log_writer.h"
#include "source/sidecar/worker_gate.h"
#include "source/store/store_client.h"

namespace runshelf::sidecar {

class InboundHandler {
 public:
  InboundHandler(event::EventLoop& loop, WorkerGate& gate, store::StoreClient& store,
                 LogWriter& log);
  ~InboundHandler();

  void Handle(const http::ExchangePtr& exchange);
  size_t under_way() const { return forwards_.size(); }

 private:
  class Forward;

  void PassToStore(const http::ExchangePtr& exchange);
  void Forget(Forward* forward);

  event::EventLoop& loop_;
  WorkerGate& gate_;
  store::StoreClient& store_;
  LogWriter& log_;
  std::unordered_map<Forward*, std::shared_ptr<Forward>> forwards_;
};

}  // namespace runshelf::sidecar
