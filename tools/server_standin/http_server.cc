#include "tools/server_standin/http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <fmt/format.h>
#include <xxhash.h>

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

#include "runshelf/common/log.h"

namespace runshelf::server_standin {
namespace {

using nlohmann::json;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr size_t kLargestFiller = 4096;
constexpr size_t kLargestBody = 1U << 20U;
constexpr int kMaxConnections = 256;
constexpr int64_t kDefaultDeadlineMs = 2000;
constexpr std::string_view kRequestsPrefix = "/requests/";

std::optional<int64_t> ParseInteger(const std::string& text) {
  int64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || last != end) return std::nullopt;
  return value;
}

void SendText(HTTPServerResponse& response, HTTPResponse::HTTPStatus status,
              const std::string& content_type, const std::string& body) {
  response.setStatusAndReason(status);
  response.setContentType(content_type);
  response.sendBuffer(body.data(), body.size());
}

void SendJson(HTTPServerResponse& response, HTTPResponse::HTTPStatus status, const json& body) {
  SendText(response, status, "application/json", body.dump());
}

void SendError(HTTPServerResponse& response, HTTPResponse::HTTPStatus status,
               const std::string& detail) {
  SendJson(response, status, {{"error", detail}});
}

// Reads the body up to the limit; nullopt when it is longer.
std::optional<std::string> ReadBody(HTTPServerRequest& request) {
  // Without a length POCO would read a POST until the peer closes; HTTP says that it has no body.
  if (!request.hasContentLength() && !request.getChunkedTransferEncoding()) return std::string();
  std::string body;
  std::array<char, 8192> buffer{};
  std::istream& stream = request.stream();
  while (stream.read(buffer.data(), buffer.size()) || stream.gcount() > 0) {
    body.append(buffer.data(), static_cast<size_t>(stream.gcount()));
    if (body.size() > kLargestBody) return std::nullopt;
  }
  return body;
}

HTTPResponse::HTTPStatus StatusOf(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNotOwner:
    case Refusal::kCancelled:
      return HTTPResponse::HTTP_CONFLICT;
    case Refusal::kDeadline:
      return HTTPResponse::HTTP_GATEWAY_TIMEOUT;
    case Refusal::kOverloaded:
    case Refusal::kDraining:
      return HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
  }
  return HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
}

std::string_view StateName(ServerState state) {
  switch (state) {
    case ServerState::kServing:
      return "serving";
    case ServerState::kDraining:
      return "draining";
    case ServerState::kCold:
      return "cold";
  }
  return "serving";
}

std::optional<Grant> ParseGrantBody(const std::string& body) {
  const json object = json::parse(body, nullptr, false);
  if (!object.is_object()) return std::nullopt;
  const auto token = object.find("token");
  const auto expiry = object.find("expires_at_us");
  const auto slots = object.find("slots");
  if (token == object.end() || !token->is_string()) return std::nullopt;
  if (expiry == object.end() || !expiry->is_number_integer()) return std::nullopt;
  if (slots == object.end()) return std::nullopt;
  Grant grant;
  if (!FencingToken::Parse(token->get<std::string>(), grant.token)) return std::nullopt;
  grant.expires_at = InstantFromMicroseconds(expiry->get<int64_t>());
  const auto ranges = ParseSlotRanges(*slots);
  if (!ranges) return std::nullopt;
  grant.slots = *ranges;
  return grant;
}

std::optional<Duration> MillisecondsAt(const json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_number_unsigned()) return std::nullopt;
  return std::chrono::milliseconds(found->get<uint32_t>());
}

Faults ParseFaults(const json& object) {
  Faults faults;
  faults.service_time = MillisecondsAt(object, "service_time_ms");
  faults.freeze = MillisecondsAt(object, "freeze_ms");
  faults.load_report_lag = MillisecondsAt(object, "load_report_lag_ms");
  const auto lose = object.find("lose_answers");
  if (lose != object.end() && lose->is_number_unsigned()) {
    faults.lose_answers = lose->get<uint32_t>();
  }
  const auto shed = object.find("shed");
  if (shed != object.end() && shed->is_boolean()) faults.shed = shed->get<bool>();
  return faults;
}

// Builds the executor's view of an HTTP request; nullopt when a header is malformed.
std::optional<ServerRequest> ParseServerRequest(const HTTPServerRequest& request) {
  ServerRequest parsed;
  parsed.request_id = request.get("Runshelf-Request-Id", "");
  parsed.idempotency_key = request.get("Idempotency-Key", "");
  parsed.key = request.get("Runshelf-Key", "");
  parsed.method = request.getMethod();
  parsed.path = request.getURI();
  const auto deadline =
      ParseInteger(request.get("Runshelf-Deadline-Ms", std::to_string(kDefaultDeadlineMs)));
  if (!deadline) return std::nullopt;
  parsed.time_left = std::chrono::milliseconds(*deadline);
  if (!request.has("Runshelf-Slot")) return parsed;
  const auto slot = ParseInteger(request.get("Runshelf-Slot"));
  if (!slot || *slot < 0 || *slot > kLargestSlot) return std::nullopt;
  parsed.slot = static_cast<SlotNumber>(*slot);
  if (!FencingToken::Parse(request.get("Runshelf-Fencing-Token", ""), parsed.token)) {
    return std::nullopt;
  }
  return parsed;
}

class Handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit Handler(RequestExecutor& executor) : executor_(executor) {}

  void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override {
    try {
      const std::optional<std::string> body = ReadBody(request);
      if (!body) {
        response.setKeepAlive(false);
        SendError(response, HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE, "body too large");
        return;
      }
      Dispatch(request, *body, response);
    } catch (const Poco::Exception& exception) {
      // The peer went away while its request was read or answered.
      LogEvent(LogLevel::kDebug, "connection_failed", {{"error", exception.displayText()}});
    }
  }

 private:
  void Dispatch(HTTPServerRequest& request, const std::string& body, HTTPServerResponse& response) {
    const std::string& path = request.getURI();
    const std::string& method = request.getMethod();
    if (path == "/faults" && method == "POST") return HandleFaults(body, response);
    executor_.WaitWhileFrozen();
    if (path == "/grants" && method == "PUT") return HandleGrant(body, response);
    if (path == "/health" && method == "GET") return HandleHealth(response);
    if (path == "/drain" && method == "POST") return HandleDrain(response);
    if (path == "/executions" && method == "GET") return HandleExecutions(response);
    if (path.starts_with(kRequestsPrefix) && method == "DELETE") {
      return HandleCancel(path.substr(kRequestsPrefix.size()), response);
    }
    HandleRequest(request, body, response);
  }

  void HandleFaults(const std::string& body, HTTPServerResponse& response) {
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object()) {
      return SendError(response, HTTPResponse::HTTP_BAD_REQUEST, "faults must be a JSON object");
    }
    executor_.Inject(ParseFaults(object));
    SendJson(response, HTTPResponse::HTTP_OK, json::object());
  }

  void HandleGrant(const std::string& body, HTTPServerResponse& response) {
    const std::optional<Grant> grant = ParseGrantBody(body);
    if (!grant) return SendError(response, HTTPResponse::HTTP_BAD_REQUEST, "malformed grant");
    if (!executor_.InstallGrant(*grant)) {
      return SendError(response, HTTPResponse::HTTP_CONFLICT, "token lower than one accepted");
    }
    SendJson(response, HTTPResponse::HTTP_OK, {{"token", grant->token.ToString()}});
  }

  void HandleHealth(HTTPServerResponse& response) {
    const HealthReport report = executor_.Health();
    SendJson(response, HTTPResponse::HTTP_OK,
             {{"state", StateName(report.state)},
              {"slots", report.slots},
              {"running", report.running},
              {"queued", report.queued}});
  }

  void HandleDrain(HTTPServerResponse& response) {
    executor_.Drain();
    SendJson(response, HTTPResponse::HTTP_OK, {{"state", "draining"}});
  }

  void HandleExecutions(HTTPServerResponse& response) {
    SendText(response, HTTPResponse::HTTP_OK, "application/x-ndjson", executor_.RecordLines(0));
  }

  void HandleCancel(const std::string& request_id, HTTPServerResponse& response) {
    const bool cancelled = executor_.Cancel(request_id);
    SendJson(response, HTTPResponse::HTTP_OK, {{"result", cancelled ? "cancelled" : "executed"}});
  }

  void HandleRequest(HTTPServerRequest& request, const std::string& body,
                     HTTPServerResponse& response) {
    const std::optional<ServerRequest> parsed = ParseServerRequest(request);
    if (!parsed) return SendError(response, HTTPResponse::HTTP_BAD_REQUEST, "malformed header");
    response.set("Runshelf-Request-Id", parsed->request_id);
    const ExecutionResult result = executor_.Execute(*parsed);
    if (result.refusal) return SendRefusal(result, response);
    executor_.WaitWhileFrozen();
    if (result.lose_answer) {
      // NOLINTNEXTLINE(cppcoreguidelines-pro-type-static-cast-downcast)
      static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
      return;
    }
    SendAnswer(*parsed, body, response);
  }

  static void SendRefusal(const ExecutionResult& result, HTTPServerResponse& response) {
    const std::string name(RefusalName(*result.refusal));
    response.set("Runshelf-Refused", name);
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(result.retry_after);
    if (wait.count() > 0) response.set("Runshelf-Retry-After-Ms", std::to_string(wait.count()));
    SendJson(response, StatusOf(*result.refusal), {{"error", name}, {"verdict", "not-run"}});
  }

  void SendAnswer(const ServerRequest& request, const std::string& body,
                  HTTPServerResponse& response) {
    json answer = {{"service", executor_.config().service},
                   {"server", executor_.config().server},
                   {"key", request.key},
                   {"path", request.path},
                   {"request_id", request.request_id},
                   {"body_bytes", body.size()},
                   {"filler", std::string(FillerSize(request.path), '.')}};
    if (request.slot) {
      answer["slot"] = *request.slot;
      answer["token"] = request.token.ToString();
    }
    SendText(response, HTTPResponse::HTTP_OK, "application/json",
             answer.dump(-1, ' ', false, json::error_handler_t::replace));
  }

  RequestExecutor& executor_;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit HandlerFactory(RequestExecutor& executor) : executor_(executor) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(const HTTPServerRequest&) override {
    return new Handler(executor_);  // Owned and deleted by POCO.
  }

 private:
  RequestExecutor& executor_;
};

class PocoHttpServer : public HttpServer {
 public:
  PocoHttpServer(const std::string& address, RequestExecutor& executor)
      : threads_(4, kMaxConnections),
        socket_(Poco::Net::SocketAddress(address)),
        server_(new HandlerFactory(executor), threads_, socket_, Parameters()) {
    server_.start();
  }

  ~PocoHttpServer() override { server_.stopAll(true); }

  uint16_t port() const override { return socket_.address().port(); }

 private:
  static Poco::Net::HTTPServerParams::Ptr Parameters() {
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(kMaxConnections);
    parameters->setMaxQueued(kMaxConnections);
    parameters->setKeepAlive(true);
    parameters->setMaxKeepAliveRequests(0);
    parameters->setKeepAliveTimeout(Poco::Timespan(60, 0));
    return parameters;
  }

  Poco::ThreadPool threads_;
  Poco::Net::ServerSocket socket_;
  Poco::Net::HTTPServer server_;
};

}  // namespace

size_t FillerSize(const std::string& path) {
  return XXH3_64bits(path.data(), path.size()) % kLargestFiller;
}

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::Start(const std::string& address,
                                                              RequestExecutor& executor) {
  try {
    return std::unique_ptr<HttpServer>(std::make_unique<PocoHttpServer>(address, executor));
  } catch (const Poco::Exception& exception) {
    const std::string detail =
        fmt::format("cannot listen on {}: {}", address, exception.displayText());
    return absl::UnavailableError(detail);
  }
}

}  // namespace runshelf::server_standin
