#include "tools/platform_standin/request_handler.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "runshelf/common/log.h"
#include "tools/platform_standin/control_api.h"
#include "tools/platform_standin/etcd_api.h"
#include "tools/platform_standin/etcd_codec.h"
#include "tools/platform_standin/json_fields.h"
#include "tools/platform_standin/watch_stream.h"

namespace runshelf::platform_standin {
namespace {

using nlohmann::json;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr const char* kWatchPath = "/v3/watch";
constexpr std::string_view kEtcdPathPrefix = "/v3/";
constexpr size_t kMaxDiscardedBytes = 16UL * 1024 * 1024;
constexpr Duration kDelayStep = std::chrono::milliseconds(20);

// Reads what is left of a body that is refused, so that the client gets to read the answer rather
// than a reset of its connection. Gives up on very large ones.
void DiscardBody(HTTPServerRequest& request) {
  request.stream().ignore(static_cast<std::streamsize>(kMaxDiscardedBytes));
}

// Returns the body, or nullopt when it is larger than kMaxRequestBytes.
std::optional<std::string> ReadBody(HTTPServerRequest& request) {
  std::string body(kMaxRequestBytes + 1, '\0');
  request.stream().read(body.data(), static_cast<std::streamsize>(body.size()));
  body.resize(static_cast<size_t>(request.stream().gcount()));
  if (body.size() <= kMaxRequestBytes) return body;
  DiscardBody(request);
  return std::nullopt;
}

void Send(HTTPServerResponse& response, const ApiAnswer& answer) {
  const std::string text = answer.body.dump(-1, ' ', false, json::error_handler_t::replace);
  response.setStatus(static_cast<HTTPResponse::HTTPStatus>(answer.http_status));
  response.setContentType("application/json");
  response.sendBuffer(text.data(), text.size());
}

void CloseWithoutAnswer(HTTPServerRequest& request, HTTPServerResponse& response) {
  response.setKeepAlive(false);
  auto* implementation = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&request);
  if (implementation != nullptr) implementation->socket().shutdown();
}

class RequestHandler : public Poco::Net::HTTPRequestHandler {
 public:
  RequestHandler(PlatformState& state, const std::atomic<bool>& stopping)
      : state_(state), stopping_(stopping) {}

  void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override {
    try {
      Handle(request, response);
    } catch (const Poco::Exception& exception) {
      // The client went away, or sent what is no HTTP.
      LogEvent(LogLevel::kDebug, "connection_failed", {{"reason", exception.displayText()}});
      CloseWithoutAnswer(request, response);
    }
  }

 private:
  void Handle(HTTPServerRequest& request, HTTPServerResponse& response) {
    const std::optional<std::string> body = ReadBody(request);
    if (!body.has_value()) {
      response.setKeepAlive(false);  // Some of the body may be left unread.
      Send(response, ErrorAnswer(absl::InvalidArgumentError("etcdserver: request is too large")));
      return;
    }
    const std::string& path = request.getURI();
    if (path == "/faults") {
      Send(response, HandleFaults(request.getMethod(), *body));
    } else if (path == "/machines" && request.getMethod() == "POST") {
      Send(response, HandleMachinesChange(*body));
    } else if (path == "/machines") {
      HandleMachinesRead(request, response);
    } else if (path.rfind(kEtcdPathPrefix, 0) == 0 && request.getMethod() == "POST") {
      HandleKeyValueCall(path, *body, request, response);
    } else {
      Send(response, ErrorAnswer(absl::NotFoundError("no such path")));
    }
  }

  ApiAnswer HandleFaults(const std::string& method, const std::string& body) {
    if (method != "POST") return ErrorAnswer(absl::NotFoundError("no such path"));
    const absl::StatusOr<FaultSettings> settings = DecodeFaults(body, state_.faults.settings());
    if (!settings.ok()) return ErrorAnswer(settings.status());
    state_.faults.Set(state_.clock.Now(), *settings);
    LogEvent(LogLevel::kInfo, "faults_changed", {{"request", body}});
    return {200, json::object()};
  }

  ApiAnswer HandleMachinesChange(const std::string& body) {
    absl::StatusOr<MachinesRequest> request = DecodeMachines(body);
    if (!request.ok()) return ErrorAnswer(request.status());
    if (request->lag.has_value()) state_.machines.SetLag(*request->lag);
    state_.machines.Change(state_.clock.Now(), std::move(request->change));
    return {200, json::object()};
  }

  // The list is away during an outage of the platform and as slow, but it has no rate limit.
  void HandleMachinesRead(HTTPServerRequest& request, HTTPServerResponse& response) {
    Delay();
    const FaultSettings faults = state_.faults.settings();
    if (!faults.outage) {
      Send(response, {200, EncodeMachines(state_.machines.Read(state_.clock.Now()))});
    } else if (faults.outage_mode == OutageMode::kRefuse) {
      Send(response, ErrorAnswer(absl::UnavailableError("away")));
    } else {
      CloseWithoutAnswer(request, response);
    }
  }

  void HandleKeyValueCall(const std::string& path, const std::string& body,
                          HTTPServerRequest& request, HTTPServerResponse& response) {
    Delay();
    switch (state_.faults.Decide(state_.clock.Now(), KindOfCall(path))) {
      case FaultAction::kNone:
        break;
      case FaultAction::kRefuse:
        // The one message of etcd's that says for certain that nothing was proposed.
        Send(response, ErrorAnswer(absl::UnavailableError("etcdserver: no leader")));
        return;
      case FaultAction::kRateLimit:
        Send(response, ErrorAnswer(absl::ResourceExhaustedError("etcdserver: too many requests")));
        return;
      case FaultAction::kLoseAnswer:
        (void)HandleCall(state_.store, path, body);
        CloseWithoutAnswer(request, response);
        return;
      case FaultAction::kClose:
        CloseWithoutAnswer(request, response);
        return;
    }
    if (path == kWatchPath) {
      HandleWatch(body, request, response);
    } else {
      Send(response, HandleCall(state_.store, path, body));
    }
  }

  void HandleWatch(const std::string& body, HTTPServerRequest& request,
                   HTTPServerResponse& response) {
    const absl::StatusOr<json> message = ParseObject(body);
    if (!message.ok()) {
      Send(response, ErrorAnswer(message.status()));
      return;
    }
    const absl::StatusOr<WatchRequest> watch = DecodeWatch(*message);
    if (!watch.ok()) {
      Send(response, ErrorAnswer(watch.status()));
      return;
    }
    StreamWatch(state_, stopping_, *watch, request, response);
  }

  void Delay() {
    Duration left = state_.faults.settings().delay;
    while (left > Duration::zero() && !stopping_.load()) {
      const Duration step = std::min(left, kDelayStep);
      std::this_thread::sleep_for(step);
      left -= step;
    }
  }

  PlatformState& state_;
  const std::atomic<bool>& stopping_;
};

}  // namespace

Poco::Net::HTTPRequestHandler* RequestHandlerFactory::createRequestHandler(
    const HTTPServerRequest& /*request*/) {
  return new RequestHandler(state_, stopping_);  // Owned and deleted by POCO.
}

}  // namespace runshelf::platform_standin
