#include "tools/load/http_caller.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "tools/server_standin/http_server.h"

namespace runshelf::load {
namespace {

using nlohmann::json;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr size_t kMaxEndpointsTried = 4;
constexpr Duration kMaxIdle = std::chrono::seconds(3);
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr Duration kAnswerSlack = std::chrono::seconds(3);  // Beyond the deadline of the call.
constexpr Duration kAbandonAfter = std::chrono::milliseconds(3);

Poco::Timespan ToTimespan(Duration duration) { return {duration.count()}; }

// The path that the server sees; a daemon gets it behind "/<service>".
std::string ServerPath(const PlannedCall& call) {
  const std::string& resource = call.key.empty() ? call.service : call.key;
  return fmt::format("/{}?call={}", resource, call.call);
}

std::string MemberOf(const json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::optional<Verdict> VerdictHeader(const HTTPResponse& response) {
  const std::string text = response.get("Runshelf-Verdict", "");
  for (const Verdict verdict : {Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan}) {
    if (text == VerdictName(verdict)) return verdict;
  }
  return std::nullopt;
}

// Why the body of a success is not the whole answer to `call`; empty when it is.
std::string CheckServerAnswer(const PlannedCall& call, const std::string& body,
                              const AttemptRecord& record) {
  const json answer = json::parse(body, nullptr, false);
  if (!answer.is_object()) return "not_json";
  const std::string path = ServerPath(call);
  if (MemberOf(answer, "path") != path) return "path_of_another";
  if (MemberOf(answer, "service") != call.service) return "service_of_another";
  if (MemberOf(answer, "filler").size() != server_standin::FillerSize(path)) return "truncated";
  if (answer.value("body_bytes", json()) != call.body_bytes) return "request_body_changed";
  // Under an idempotency key the answer to an earlier attempt may be told again.
  const bool own_id = MemberOf(answer, "request_id") == record.request_id;
  if (call.idempotency_key.empty() && !own_id) return "request_id_of_another";
  return {};
}

}  // namespace

// POCO's session writes a request again by itself when a kept-alive connection turns out to be
// closed. That could run it twice, so this one never does.
class HttpCaller::Session : public Poco::Net::HTTPClientSession {
 public:
  explicit Session(const Poco::Net::SocketAddress& address)
      : HTTPClientSession(address.host().toString(), address.port()) {}

  // Connects now, so that a refused connection is known before any byte is sent.
  void Open() { reconnect(); }

  // Whether the peer has closed the idle connection, or sent something unasked.
  bool IsStale(Instant now) {
    if (now - idle_since_ > kMaxIdle) return true;
    return socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
  }

  void SetIdleSince(Instant now) { idle_since_ = now; }

 protected:
  int write(const char* buffer, std::streamsize length) override {
    return HTTPSession::write(buffer, length);  // NOLINT(bugprone-parent-virtual-call)
  }

 private:
  Instant idle_since_;
};

struct HttpCaller::Pool {
  std::mutex mutex;
  std::vector<std::unique_ptr<Session>> idle;
};

HttpCaller::HttpCaller(std::vector<Endpoint> endpoints, bool direct, Duration deadline,
                       const Clock& clock)
    : endpoints_(std::move(endpoints)), direct_(direct), deadline_(deadline), clock_(clock) {
  for (size_t index = 0; index < endpoints_.size(); ++index) {
    pools_.push_back(std::make_unique<Pool>());
  }
}

HttpCaller::~HttpCaller() = default;

AttemptRecord HttpCaller::Send(const PlannedCall& call, uint32_t attempt) {
  AttemptRecord record;
  record.call = call.call;
  record.attempt = attempt;
  record.service = call.service;
  record.caller_class = call.caller_class;
  record.key = call.key;
  record.idempotency_key = call.idempotency_key;
  record.repeatable = !call.write;
  record.direct = direct_;
  record.sent_at = clock_.Now();
  record.error = kErrorConnectFailed;
  for (const size_t endpoint : EndpointOrder(call, attempt)) {
    std::unique_ptr<Session> session = Connect(endpoint);
    if (session == nullptr) continue;
    record.endpoint = endpoints_[endpoint].address;
    record.error.clear();
    bool reusable = false;
    Exchange(call, *session, record, reusable);
    if (reusable) GiveBack(endpoint, std::move(session));
    break;
  }
  record.done_at = clock_.Now();
  return record;
}

std::vector<size_t> HttpCaller::EndpointOrder(const PlannedCall& call, uint32_t attempt) const {
  std::vector<size_t> serving;
  for (size_t index = 0; index < endpoints_.size(); ++index) {
    const std::string& only = endpoints_[index].service;
    if (only.empty() || only == call.service) serving.push_back(index);
  }
  std::vector<size_t> order;
  for (size_t step = 0; step < std::min(kMaxEndpointsTried, serving.size()); ++step) {
    order.push_back(serving[(call.endpoint_choice + attempt + step) % serving.size()]);
  }
  return order;
}

std::unique_ptr<HttpCaller::Session> HttpCaller::Connect(size_t endpoint) {
  Pool& pool = *pools_[endpoint];
  while (true) {
    std::unique_ptr<Session> session;
    {
      const std::lock_guard lock(pool.mutex);
      if (pool.idle.empty()) break;
      session = std::move(pool.idle.back());
      pool.idle.pop_back();
    }
    if (!session->IsStale(clock_.Now())) return session;
  }
  try {
    const Poco::Net::SocketAddress address(endpoints_[endpoint].address);
    auto session = std::make_unique<Session>(address);
    session->setKeepAlive(true);
    session->setTimeout(ToTimespan(kConnectTimeout), ToTimespan(deadline_ + kAnswerSlack),
                        ToTimespan(deadline_ + kAnswerSlack));
    session->Open();
    return session;
  } catch (const Poco::Exception&) {
    return nullptr;
  }
}

void HttpCaller::GiveBack(size_t endpoint, std::unique_ptr<Session> session) {
  session->SetIdleSince(clock_.Now());
  Pool& pool = *pools_[endpoint];
  const std::lock_guard lock(pool.mutex);
  pool.idle.push_back(std::move(session));
}

void HttpCaller::Exchange(const PlannedCall& call, Session& session, AttemptRecord& record,
                          bool& reusable) {
  const std::string path = ServerPath(call);
  HTTPRequest request(call.write ? HTTPRequest::HTTP_POST : HTTPRequest::HTTP_GET,
                      direct_ ? path : "/" + call.service + path, HTTPRequest::HTTP_1_1);
  request.setKeepAlive(true);
  request.set("Runshelf-Class", call.caller_class);
  request.set("Runshelf-Deadline-Ms", std::to_string(deadline_ / std::chrono::milliseconds(1)));
  if (!call.key.empty()) request.set("Runshelf-Key", call.key);
  if (!call.idempotency_key.empty()) {
    request.set("Idempotency-Key", call.idempotency_key);
    request.set("Runshelf-Attempt", std::to_string(record.attempt));
  }
  if (direct_) request.set("Runshelf-Request-Id", call.call);
  if (call.write) request.setContentLength(static_cast<std::streamsize>(call.body_bytes));
  try {
    session.sendRequest(request) << std::string(call.body_bytes, 'x') << std::flush;
    if (call.abandon) {
      std::this_thread::sleep_for(kAbandonAfter);
      record.error = kErrorAbandoned;
      return;
    }
    HTTPResponse response;
    std::istream& stream = session.receiveResponse(response);
    std::string body;
    Poco::StreamCopier::copyToString(stream, body);
    const bool has_length = response.hasContentLength();
    if (has_length && body.size() != static_cast<size_t>(response.getContentLength64())) {
      record.error = kErrorConnectionLost;  // The answer was cut short.
      return;
    }
    record.status = response.getStatus();
    record.verdict = direct_ ? std::optional(Verdict::kRan) : VerdictHeader(response);
    record.request_id = response.get("Runshelf-Request-Id", "");
    reusable = response.getKeepAlive() && (has_length || response.getChunkedTransferEncoding());
    if (record.status < 200 || record.status >= 300) {
      const json error = json::parse(body, nullptr, false);
      record.error = error.is_object() ? MemberOf(error, "error") : "no_error_body";
      if (direct_) record.verdict = Verdict::kNotRun;
      if (!record.verdict) record.wrong_answer = "no_verdict";
      return;
    }
    record.wrong_answer = CheckServerAnswer(call, body, record);
    if (record.verdict != Verdict::kRan) record.wrong_answer = "success_without_ran";
  } catch (const Poco::TimeoutException&) {
    record.error = kErrorTimeout;
  } catch (const Poco::Exception&) {
    record.error = kErrorConnectionLost;
  }
}

}  // namespace runshelf::load
