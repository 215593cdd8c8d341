// An attempt at a worker on another machine, sent through the node next to that worker.
#pragma once

#include <memory>
#include <string>

#include "source/event/event_loop.h"
#include "source/http/client.h"
#include "source/sidecar/attempt.h"
#include "source/sidecar/peer_directory.h"

namespace runshelf::sidecar {

// Forwards one request to a peer node and passes its answer to the observer. Also reports traffic,
// load and failures of the peer to the PeerDirectory.
class RemoteAttempt : public Attempt, public http::ResponseObserver {
 public:
  // `node` is the id of the peer and `endpoint` its address. The references and `observer` must
  // outlive the attempt.
  RemoteAttempt(event::EventLoop& loop, http::ConnectionPool& pool, PeerDirectory& peers,
                std::string node, event::Endpoint endpoint, AttemptRequest request,
                AttemptObserver* observer);
  ~RemoteAttempt() override;

  void Begin() override;
  void Pause() override;
  void Resume() override;

  void OnResponseHead(http::ResponseHead&& head) override;
  void OnResponseBody(std::string_view data) override;
  void OnResponseComplete() override;
  void OnClientFailure(http::ClientFailure failure) override;

 private:
  event::EventLoop& loop_;
  http::ConnectionPool& pool_;
  PeerDirectory& peers_;
  std::string node_;
  event::Endpoint endpoint_;
  AttemptRequest request_;
  AttemptObserver* observer_;
  std::unique_ptr<http::ClientCall> call_;
  std::optional<AttemptFailure> failure_;  // Failure that the peer reported in the answer's head.
  size_t failure_body_bytes_ = 0;
  bool answering_ = false;  // The answer's head was passed to the observer.
};

}  // namespace runshelf::sidecar
