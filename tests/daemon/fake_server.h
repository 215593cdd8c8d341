// A server for tests: records what it executes and misbehaves on demand.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/transport/http_server.h"

namespace runshelf::daemon {

class FakeServer : public transport::HttpHandler {
 public:
  using Behaviour = std::function<transport::HttpResponse(const transport::HttpRequest& request)>;

  // Without a behaviour it answers 200 with "<method> <target> <body>".
  explicit FakeServer(const Clock& clock);

  std::string address() const { return server_->address(); }

  // What to do with requests from now on; control requests are only recorded.
  void Behave(Behaviour behaviour);

  // Bodies of the requests executed, in order.
  std::vector<std::string> executed() const;
  std::vector<std::string> cancelled() const;
  transport::HttpRequest last_request() const;

  transport::HttpResponse Handle(transport::HttpRequest request,
                                 transport::PeerWatch caller) override;

  static transport::HttpResponse Refusal(const std::string& reason);

 private:
  mutable std::mutex mutex_;
  Behaviour behaviour_;
  std::vector<std::string> executed_;
  std::vector<std::string> cancelled_;
  transport::HttpRequest last_request_;
  std::unique_ptr<transport::HttpServer> server_;
};

}  // namespace runshelf::daemon
