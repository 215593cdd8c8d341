// An attempt by the worker of another machine, through the node beside it.
#pragma once

#include <memory>
#include <string>

#include "source/event/event_loop.h"
#include "source/http/client.h"
#include "source/sidecar/attempt.h"
#include "source/sidecar/peer_directory.h"

namespace runshelf::sidecar {

class RemoteAttempt : public Attempt, public http::ResponseObserver {
 public:
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
  std::optional<AttemptFailure> failure_;
  bool answering_ = false;
};

}  // namespace runshelf::sidecar
