#include "tools/load/judge.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>

namespace runshelf::load {
namespace {

// A call with all that is known of it.
struct CallHistory {
  std::vector<const AttemptRecord*> attempts;
  std::vector<const Execution*> executions;
};

using CallHistories = std::map<std::string, CallHistory>;

CallHistories HistoriesOf(const Evidence& evidence) {
  CallHistories histories;
  for (const AttemptRecord& attempt : evidence.attempts) {
    histories[attempt.call].attempts.push_back(&attempt);
  }
  for (const Execution& execution : evidence.executions) {
    histories[CallOfPath(execution.path)].executions.push_back(&execution);
  }
  return histories;
}

void CheckOwners(const Evidence& evidence, std::vector<Finding>& findings) {
  std::map<SlotId, std::map<std::string, const Execution*>> highest;  // By slot and server.
  for (const Execution& execution : evidence.executions) {
    if (!execution.slot) continue;
    auto& servers = highest[{execution.service, *execution.slot}];
    for (const auto& [server, other] : servers) {
      if (server == execution.server || *other->token < *execution.token) continue;
      findings.push_back(
          {Violation::kDoubleOwner,
           fmt::format("service={} slot={} server={} token={} at_us={} after server={} token={} "
                       "at_us={}",
                       execution.service, *execution.slot, execution.server,
                       execution.token->ToString(), ToMicroseconds(execution.at), server,
                       other->token->ToString(), ToMicroseconds(other->at))});
      break;
    }
    const Execution*& own = servers[execution.server];
    if (own == nullptr || *own->token < *execution.token) own = &execution;
  }
}

void CheckGrants(const Evidence& evidence, std::vector<Finding>& findings) {
  for (const auto& [slot, tenures] : TenuresBySlot(evidence)) {
    const Tenure* latest = nullptr;  // The tenure that ends last among those seen.
    for (const Tenure& tenure : tenures) {
      if (latest != nullptr && latest->server != tenure.server && tenure.start < latest->end) {
        const Duration overlap = std::min(latest->end, tenure.end) - tenure.start;
        findings.push_back(
            {Violation::kOverlappingGrants,
             fmt::format("service={} slot={} server={} from_us={} while server={} "
                         "until_us={} overlap_us={}",
                         slot.service, slot.slot, tenure.server, ToMicroseconds(tenure.start),
                         latest->server, ToMicroseconds(latest->end), overlap.count())});
      }
      if (latest == nullptr || tenure.end > latest->end) latest = &tenure;
    }
  }
}

bool ExecutedUnder(const CallHistory& history, const std::string& request_id) {
  return std::any_of(
      history.executions.begin(), history.executions.end(),
      [&](const Execution* execution) { return execution->request_id == request_id; });
}

bool WasTold(const AttemptRecord* attempt, Verdict verdict) { return attempt->verdict == verdict; }

void CheckNotRun(const std::string& call, const CallHistory& history,
                 std::vector<Finding>& findings) {
  const auto told_not_run = [](const AttemptRecord* attempt) {
    return WasTold(attempt, Verdict::kNotRun);
  };
  const bool all_not_run = std::all_of(
      history.attempts.begin(), history.attempts.end(), [&](const AttemptRecord* attempt) {
        return told_not_run(attempt) || attempt->error == kErrorConnectFailed;
      });
  if (all_not_run && !history.executions.empty()) {
    findings.push_back({Violation::kFalseNotRun, "call=" + call});
    return;
  }
  for (const AttemptRecord* attempt : history.attempts) {
    if (!told_not_run(attempt) || !ExecutedUnder(history, attempt->request_id)) continue;
    findings.push_back(
        {Violation::kFalseNotRun, fmt::format("call={} attempt={}", call, attempt->attempt)});
  }
}

void CheckRan(const std::string& call, const CallHistory& history, bool records_complete,
              std::vector<Finding>& findings) {
  const bool told_ran =
      std::any_of(history.attempts.begin(), history.attempts.end(),
                  [](const AttemptRecord* attempt) { return WasTold(attempt, Verdict::kRan); });
  if (told_ran && history.executions.empty() && records_complete) {
    findings.push_back({Violation::kFalseRan, "call=" + call});
  }
}

void CheckRepeats(const std::string& call, const CallHistory& history,
                  std::vector<Finding>& findings) {
  if (history.attempts.front()->repeatable || history.executions.size() < 2) return;
  std::string detail = fmt::format("call={} executions={}", call, history.executions.size());
  for (const Execution* execution : history.executions) {
    detail += fmt::format(" {}@{}", execution->server, ToMicroseconds(execution->at));
  }
  findings.push_back({Violation::kRepeatedRun, detail});
}

void CheckAnswers(const std::string& call, const CallHistory& history,
                  std::vector<Finding>& findings) {
  for (const AttemptRecord* attempt : history.attempts) {
    if (attempt->wrong_answer.empty()) continue;
    findings.push_back({Violation::kWrongAnswer,
                        fmt::format("call={} attempt={} status={} reason={}", call,
                                    attempt->attempt, attempt->status, attempt->wrong_answer)});
  }
}

void CheckCuts(const std::string& call, const CallHistory& history,
               std::vector<Finding>& findings) {
  for (const AttemptRecord* attempt : history.attempts) {
    const bool cut = attempt->error == kErrorConnectionLost || attempt->error == "connection_lost";
    if (!cut) continue;
    findings.push_back(
        {Violation::kCutRequest,
         fmt::format("call={} attempt={} endpoint={} error={} sent_us={} cut_us={}", call,
                     attempt->attempt, attempt->endpoint, attempt->error,
                     ToMicroseconds(attempt->sent_at), ToMicroseconds(attempt->done_at))});
  }
}

}  // namespace

std::string_view ViolationName(Violation violation) {
  switch (violation) {
    case Violation::kDoubleOwner:
      return "double_owner";
    case Violation::kOverlappingGrants:
      return "overlapping_grants";
    case Violation::kFalseNotRun:
      return "false_not_run";
    case Violation::kFalseRan:
      return "false_ran";
    case Violation::kRepeatedRun:
      return "repeated_run";
    case Violation::kWrongAnswer:
      return "wrong_answer";
    case Violation::kUnknownExecution:
      return "unknown_execution";
    case Violation::kCutRequest:
      return "cut_request";
  }
  return "unknown";
}

std::vector<Finding> Judge(const Evidence& evidence) {
  std::vector<Finding> findings;
  CheckOwners(evidence, findings);
  CheckGrants(evidence, findings);
  const bool records_complete =
      std::none_of(evidence.lost.begin(), evidence.lost.end(),
                   [](const LostServer& lost) { return lost.record_lost; });
  const bool machine_lost = std::any_of(evidence.lost.begin(), evidence.lost.end(),
                                        [](const LostServer& lost) { return !lost.planned; });
  for (const auto& [call, history] : HistoriesOf(evidence)) {
    if (history.attempts.empty()) {
      findings.push_back({Violation::kUnknownExecution,
                          fmt::format("path={} count={}", history.executions.front()->path,
                                      history.executions.size())});
      continue;
    }
    CheckNotRun(call, history, findings);
    CheckRan(call, history, records_complete, findings);
    CheckRepeats(call, history, findings);
    CheckAnswers(call, history, findings);
    if (!machine_lost) CheckCuts(call, history, findings);
  }
  return findings;
}

}  // namespace runshelf::load
