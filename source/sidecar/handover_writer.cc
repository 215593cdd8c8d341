#include "source/sidecar/handover_writer.h"

#include <algorithm>
#include <utility>

namespace runshelf::sidecar {
namespace {

// While another change of the map by this process is in progress.
constexpr Duration kBusyRetry = std::chrono::milliseconds(10);
// Consecutive conflicts after which the senders write their handovers themselves.
constexpr int kMaxConflicts = 3;

}  // namespace

HandoverWriter::HandoverWriter(event::EventLoop& loop, ShardStore& shards, std::string service,
                               LogWriter& log)
    : loop_(loop), shards_(shards), service_(std::move(service)), log_(log), timer_(loop, [this] {
        Write();
      }) {}

void HandoverWriter::Add(HandoverReport report, Callback callback) {
  if (report.service != service_ || !CanWrite()) {
    callback(false);
    return;
  }
  const HandoverBatch::Ticket ticket = batch_.Add(loop_.Now(), std::move(report));
  callbacks_[ticket] = std::move(callback);
  Schedule();
}

// Whether a carried-over shard may be held elsewhere is known to its owner's node only.
bool HandoverWriter::CanWrite() const {
  return shards_.IsOfCurrentEra() && !shards_.map().empty() && !shards_.map().HasCarriedOver();
}

void HandoverWriter::Schedule() {
  const auto due = batch_.DueAt();
  if (!due.has_value() || timer_.active()) return;
  timer_.Start(std::max(Duration(0), *due - loop_.Now()));
}

void HandoverWriter::Write() {
  if (shards_.busy()) {
    timer_.Start(kBusyRetry);
    return;
  }
  if (!CanWrite()) {
    std::vector<HandoverBatch::Ticket> all;
    for (const auto& [ticket, callback] : callbacks_) all.push_back(ticket);
    Finish(all, false);
    return;
  }
  const HandoverBatch::Change change = batch_.MakeChange(loop_.Now(), shards_.map(), shards_.era());
  Finish(change.refused, false);
  if (change.tickets.empty()) {
    Schedule();
    return;
  }
  shards_.Replace(change.map, "shard_map_handover", change.conditions,
                  [this, change](ShardStore::Outcome outcome) { OnOutcome(change, outcome); });
}

void HandoverWriter::OnOutcome(const HandoverBatch::Change& change, ShardStore::Outcome outcome) {
  log_.Write(LogLevel::kInfo, "handovers_written",
             {{"committed", outcome == ShardStore::Outcome::kCommitted},
              {"known", outcome != ShardStore::Outcome::kUnknown},
              {"nodes", change.tickets.size()},
              {"revision", store::RevisionText(shards_.revision())}});
  if (outcome == ShardStore::Outcome::kConflict && ++conflicts_ < kMaxConflicts) {
    // The others are tried again with the map that the store returned.
    std::vector<HandoverBatch::Ticket> outdated;
    for (const HandoverBatch::Ticket ticket : change.tickets) {
      if (shards_.FailedInConflict(batch_.LatestRun(ticket))) outdated.push_back(ticket);
    }
    Finish(outdated, false);
    timer_.Start(Duration(0));
  } else {
    conflicts_ = 0;
    Finish(change.tickets, outcome == ShardStore::Outcome::kCommitted);
  }
  if (on_committed_) on_committed_();
  Schedule();
}

void HandoverWriter::Finish(const std::vector<HandoverBatch::Ticket>& tickets, bool written) {
  for (const HandoverBatch::Ticket ticket : tickets) {
    batch_.Remove(ticket);
    const auto found = callbacks_.find(ticket);
    if (found == callbacks_.end()) continue;
    const Callback callback = std::move(found->second);
    callbacks_.erase(found);
    callback(written);
  }
}

}  // namespace runshelf::sidecar
