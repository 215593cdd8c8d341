// Handles the HTTP requests of the stand-in platform.
#pragma once

#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include <atomic>

#include "tools/platform_standin/platform_server.h"

namespace runshelf::platform_standin {

class RequestHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  // Delays and watches end once `stopping` is set. Both must outlive the factory's handlers.
  RequestHandlerFactory(PlatformState& state, const std::atomic<bool>& stopping)
      : state_(state), stopping_(stopping) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& request) override;

 private:
  PlatformState& state_;
  const std::atomic<bool>& stopping_;
};

}  // namespace runshelf::platform_standin
