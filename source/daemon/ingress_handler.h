// Takes callers' requests: checks them, holds them against the table, and has them forwarded.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>

#include "runshelf/admission/rate_limiter.h"
#include "runshelf/common/clock.h"
#include "runshelf/common/instance_id.h"
#include "runshelf/table/table.h"
#include "runshelf/transport/http_server.h"
#include "source/daemon/metrics.h"
#include "source/daemon/published.h"
#include "source/daemon/request_forwarder.h"

namespace runshelf::daemon {

// A RateLimiter that several threads share.
struct SharedRateLimiter {
  explicit SharedRateLimiter(const InstanceId& self)
      : limiter(self, admission::RateLimiterConfig{}) {}

  std::mutex mutex;
  admission::RateLimiter limiter;  // Guarded by `mutex`.
};

// Safe for use by several threads at once.
class IngressHandler : public transport::HttpHandler {
 public:
  // Returns the body of GET /status, JSON.
  using StatusSource = std::function<std::string()>;

  // All references must outlive the handler.
  IngressHandler(const Clock& clock, const InstanceId& self, std::set<std::string> keyed_services,
                 const Published<table::Table>& table, SharedRateLimiter& limiter,
                 RequestForwarder& forwarder, Metrics& metrics, StatusSource status);

  transport::HttpResponse Handle(transport::HttpRequest request,
                                 transport::PeerWatch caller) override;

  // Says not-run only where the request's headers show that it is no repeat.
  transport::HttpResponse RefuseUnreadable(const transport::HttpRequest& request,
                                           int status) override;

  // From now on every response closes its connection, so that callers move elsewhere.
  void BeginLeave() { leaving_ = true; }

  // Requests of callers that are in progress.
  int64_t in_progress() const { return in_progress_; }

 private:
  // A caller's request with its answer, for metrics.
  struct Answer {
    transport::HttpResponse response;
    Verdict verdict = Verdict::kNotRun;
    std::string service;  // Empty unless the table has the cell.
    std::string caller_class;
  };

  Answer Route(const transport::HttpRequest& request, const std::string& request_id,
               Instant received, transport::PeerWatch caller);
  Answer Refuse(const RequestError& error, const std::string& request_id) const;
  std::optional<RequestError> CheckTable(const CallerRequest& request,
                                         const transport::HttpRequest& original, Instant now);
  std::optional<transport::HttpResponse> HandleOwnPage(const transport::HttpRequest& request) const;
  std::string NextRequestId();

  const Clock& clock_;
  const std::string request_id_prefix_;
  const std::set<std::string> keyed_services_;
  const Published<table::Table>& table_;
  SharedRateLimiter& limiter_;
  RequestForwarder& forwarder_;
  Metrics& metrics_;
  const StatusSource status_;
  std::atomic<uint64_t> next_request_{0};
  std::atomic<int64_t> in_progress_{0};
  std::atomic<bool> leaving_{false};
};

}  // namespace runshelf::daemon
