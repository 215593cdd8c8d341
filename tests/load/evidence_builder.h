// Short ways to write evidence by hand.
#pragma once

#include <string>

#include "tools/load/evidence.h"

namespace runshelf::load {

inline Instant At(int64_t milliseconds) { return Instant(std::chrono::milliseconds(milliseconds)); }

inline AttemptRecord Attempt(const std::string& call, std::optional<Verdict> verdict,
                             const std::string& request_id = "id") {
  AttemptRecord record;
  record.call = call;
  record.service = "feedread";
  record.caller_class = "newsroom";
  record.verdict = verdict;
  record.request_id = request_id;
  record.status = !verdict ? 0 : verdict == Verdict::kRan ? 200 : 503;
  return record;
}

inline Execution Executed(const std::string& call, const std::string& server, int64_t milliseconds,
                          const std::string& request_id = "id") {
  Execution execution;
  execution.service = "feedread";
  execution.server = server;
  execution.request_id = request_id;
  execution.path = "/key?call=" + call;
  execution.at = At(milliseconds);
  return execution;
}

inline Execution ExecutedUnder(const FencingToken& token, const std::string& server,
                               int64_t milliseconds) {
  Execution execution = Executed("c", server, milliseconds);
  execution.slot = 4;
  execution.token = token;
  return execution;
}

inline AcceptedGrant Granted(const std::string& server, std::vector<SlotRange> slots,
                             int64_t milliseconds, int64_t expires_milliseconds) {
  return {"feedread",       server,           {1, 1, 1},
          std::move(slots), At(milliseconds), At(expires_milliseconds)};
}

}  // namespace runshelf::load
