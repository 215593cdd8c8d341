// Takes requests that other daemons forwarded for the server beside this one.
//
// In order: the slot gate (does the server own the slot?), the memory of repeats, the admission
// queue, the server. Whatever is refused on the way certainly did not run.
#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <string>

#include "runshelf/common/clock.h"
#include "runshelf/ownership/slot_gate.h"
#include "runshelf/table/table.h"
#include "runshelf/transport/http_server.h"
#include "source/daemon/admission_gate.h"
#include "source/daemon/forwarded_request.h"
#include "source/daemon/load_meter.h"
#include "source/daemon/metrics.h"
#include "source/daemon/published.h"
#include "source/daemon/repeat_guard.h"
#include "source/daemon/server_client.h"

namespace runshelf::daemon {

// What an egress works on. All must outlive it.
struct EgressParts {
  const Clock& clock;
  ownership::SlotGate& gate;
  RepeatGuard& repeats;
  AdmissionGate& admission;
  ServerClient& server;
  LoadMeter& load;
  const Published<table::Table>& table;
  Metrics& metrics;
};

// Safe for use by several threads at once.
class EgressHandler : public transport::HttpHandler {
 public:
  // `service` is that of the server beside this daemon.
  EgressHandler(std::string service, const EgressParts& parts);

  transport::HttpResponse Handle(transport::HttpRequest request,
                                 transport::PeerWatch caller) override;

  // From now on requests without a slot are refused; those with one go by the slot gate.
  void BeginLeave() { leaving_ = true; }

  int64_t in_progress() const { return in_progress_; }

 private:
  // How one request ended, as it is answered to the daemon that forwarded it.
  struct Result {
    Verdict verdict = Verdict::kNotRun;
    std::string refused;  // Value of Runshelf-Refused, or empty.
    std::string failed;   // Value of Runshelf-Failed, or empty.
    Duration retry_after{0};
    std::shared_ptr<const routing::RecordedAnswer> answer;  // With kRan.
    std::optional<uint64_t> announced_length;               // Of an answer to HEAD.
  };

  struct Context {
    const ForwardedRequest& forwarded;
    const transport::HttpRequest& original;
    Instant received;
    Instant deadline;
    transport::PeerWatch caller;
    std::optional<FencingToken> token;
  };

  Result Serve(const ForwardedRequest& forwarded, const transport::HttpRequest& original,
               transport::PeerWatch caller);
  Result ServeOwned(Context& context);
  Result ServeRepeatable(const Context& context, Instant slot_held_since);
  Result FollowEarlier(const Context& context, const routing::IdempotentRequest& request);
  Result Admit(const Context& context);
  Result CallServer(const Context& context, uint64_t admission_id);
  transport::HttpResponse ToResponse(const Result& result, const std::string& request_id) const;

  static Result Refused(const char* reason, Duration retry_after = Duration::zero());
  static Result Failed(const char* reason);
  static Result Mismatch();
  static Result ResultOf(ServerResult server, bool by_ownership);

  const std::string service_;
  EgressParts parts_;
  std::atomic<bool> leaving_{false};
  std::atomic<int64_t> in_progress_{0};
};

}  // namespace runshelf::daemon
