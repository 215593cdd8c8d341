#include "tools/sim/judge.h"

namespace runshelf::sim {

ServerRun Judge::NewServerRun(const std::string& service, const std::string& name) {
  ++last_run_;
  ownership_.OnServerStarted(last_run_, service, name);
  requests_.OnServerStarted(last_run_, service);
  return last_run_;
}

void Judge::OnServerStopped(ServerRun server) {
  ownership_.OnServerStopped(queue_.Now(), server);
  requests_.OnServerStopped(server);
}

void Judge::OnGrant(ServerRun server, const FencingToken& token,
                    const std::vector<SlotRange>& slots, TrueTime until) {
  GrantRecord record;
  record.at = queue_.Now();
  record.until = until;
  record.server = server;
  record.token = token;
  record.slots = slots;
  ownership_.OnGrant(record);
}

void Judge::OnExecution(ServerRun server, uint64_t operation, uint32_t sending,
                        std::optional<SlotNumber> slot, std::optional<FencingToken> token) {
  ExecutionRecord record;
  record.at = queue_.Now();
  record.server = server;
  record.operation = operation;
  record.sending = sending;
  record.slot = slot;
  record.token = token;
  ownership_.OnExecution(record);
  requests_.OnExecution(record);
}

Report Judge::Finish() {
  const TrueTime end = queue_.Now();
  ownership_.JudgeEnd(end);
  requests_.JudgeEnd(end);
  table_.JudgeEnd(end);
  Report report;
  report.violations = violations_;
  report.unavailable = ownership_.Unavailable(end);
  report.churn = ownership_.churn();
  report.imbalance = requests_.ComputeImbalance();
  report.requests = requests_.Counts();
  report.edits_accepted = table_.edits_accepted();
  report.simulated = end.time_since_epoch();
  return report;
}

}  // namespace runshelf::sim
