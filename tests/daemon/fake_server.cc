#include "tests/daemon/fake_server.h"

#include <utility>

namespace runshelf::daemon {

FakeServer::FakeServer(const Clock& clock)
    : server_(*transport::HttpServer::Start(clock, "127.0.0.1:0", {}, *this)) {}

void FakeServer::Behave(Behaviour behaviour) {
  const std::lock_guard lock(mutex_);
  behaviour_ = std::move(behaviour);
}

std::vector<std::string> FakeServer::executed() const {
  const std::lock_guard lock(mutex_);
  return executed_;
}

std::vector<std::string> FakeServer::cancelled() const {
  const std::lock_guard lock(mutex_);
  return cancelled_;
}

transport::HttpRequest FakeServer::last_request() const {
  const std::lock_guard lock(mutex_);
  return last_request_;
}

transport::HttpResponse FakeServer::Handle(transport::HttpRequest request, transport::PeerWatch) {
  Behaviour behaviour;
  {
    const std::lock_guard lock(mutex_);
    if (request.method == "DELETE") {
      cancelled_.push_back(request.target);
      return {};
    }
    last_request_ = request;
    behaviour = behaviour_;
  }
  transport::HttpResponse response;
  if (behaviour != nullptr) {
    response = behaviour(request);
  } else {
    response.body = request.method + " " + request.target + " " + request.body;
  }
  if (!response.headers.Has("Runshelf-Refused")) {
    const std::lock_guard lock(mutex_);
    executed_.push_back(request.body);
  }
  return response;
}

transport::HttpResponse FakeServer::Refusal(const std::string& reason) {
  transport::HttpResponse response;
  response.status = 503;
  response.headers.Set("Runshelf-Refused", reason);
  return response;
}

}  // namespace runshelf::daemon
