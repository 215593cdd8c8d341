#include "source/coordination/group_lifecycle.h"

#include <algorithm>
#include <utility>

#include "source/coordination/voter_manager.h"

namespace runshelf::coordination {
namespace {

using ownership::NodeRecord;

constexpr Duration kReadInterval = std::chrono::seconds(1);
constexpr Duration kHelloInterval = std::chrono::milliseconds(200);
constexpr Duration kSealInterval = std::chrono::milliseconds(200);
constexpr Duration kWriteTimeout = std::chrono::seconds(3);
// A daemon that lost its leader asks the recorded voters for so long, then every machine.
constexpr Duration kVoterSearchTime = std::chrono::seconds(1);

// A phase of a recovery that is not through by then is given up.
constexpr Duration kRecoveryPhaseTimeout = std::chrono::milliseconds(1500);

// A recovery relies on a record and a machine list at most this old.
constexpr Duration kFreshness = std::chrono::seconds(3);

// The leader rewrites the record at most this often: after a change of voters, or of anything else.
constexpr Duration kVotersRefreshInterval = std::chrono::seconds(2);
constexpr Duration kStateRefreshInterval = std::chrono::seconds(30);

// When a generation that was given up is not replaced within this time, a daemon asks to join it
// again.
constexpr Duration kSealTimeout = std::chrono::seconds(3);

}  // namespace

void GroupLifecycle::Tick(Instant now, Instant last_leader_contact, const NodeRecord& own_record,
                          const RecoveryState& own_state) {
  last_tick_ = now;
  if (being_written_ && now - write_started_ > kWriteTimeout) {
    being_written_.reset();
    leaving_seal_ = false;
    next_read_ = {};
  }
  ReadRecordWhenDue(now, last_leader_contact);
  if (!IsKnown()) {
    Bootstrap(now, own_record);
    return;
  }
  Recover(now, last_leader_contact, own_record, own_state);
  if (IsSealed() && now - sealed_at_ > kSealTimeout) LeaveSeal(now);
}

void GroupLifecycle::ReadRecordWhenDue(Instant now, Instant last_leader_contact) {
  const bool leader_known = IsKnown() && now - last_leader_contact < kReadInterval;
  if (now < next_read_ || (leader_known && next_read_ != Instant{})) return;
  context_.actions.emplace_back(ReadGroupRecord{});
  next_read_ = now + context_.random.Between(kReadInterval / 2, kReadInterval * 3 / 2);
}

std::optional<GroupRecord> GroupLifecycle::OnGroupRecord(Instant now,
                                                         const std::optional<GroupRecord>& record,
                                                         int64_t revision) {
  record_read_at_ = now;
  if (!record) {
    if (!record_absent_) absent_since_ = now;
    record_absent_ = true;
    return std::nullopt;
  }
  record_absent_ = false;
  record_revision_ = revision;
  return Adopt(*record, revision);
}

std::optional<GroupRecord> GroupLifecycle::Adopt(const GroupRecord& record, int64_t revision) {
  if (record.generation < context_.generation) return std::nullopt;
  if (revision > 0) record_revision_ = std::max(record_revision_, revision);
  record_ = record;
  RebuildAddresses();
  for (const GroupMember& voter : record.voters) context_.Learn(voter.instance, voter.address);
  if (record.generation == context_.generation) return std::nullopt;
  context_.generation = record.generation;
  adopted_at_ = last_tick_;
  recovery_.reset();
  greeted_.clear();
  context_.Log("generation_adopted", {{"generation", std::to_string(record.generation)}});
  return record;
}

std::optional<GroupRecord> GroupLifecycle::OnAnnouncement(const GroupAnnouncement& announcement) {
  if (announcement.record.generation <= context_.generation) return std::nullopt;
  return Adopt(announcement.record, announcement.record_revision);
}

void GroupLifecycle::OnMachineList(Instant now,
                                   const infrastructure::MachineListSnapshot& machines) {
  machines_ = machines;
  RebuildAddresses();
  machines_read_at_ = now;
}

void GroupLifecycle::RebuildAddresses() {
  std::set<std::string> voters(context_.config.seed_addresses.begin(),
                               context_.config.seed_addresses.end());
  if (record_) {
    for (const GroupMember& voter : record_->voters) voters.insert(voter.address);
  }
  std::set<std::string> peers = voters;
  if (machines_) {
    for (const infrastructure::Machine& machine : machines_->machines)
      peers.insert(machine.address);
  }
  for (std::set<std::string>* addresses : {&voters, &peers}) {
    addresses->erase(context_.config.peer_address);
    addresses->erase("");
  }
  voter_addresses_.assign(voters.begin(), voters.end());
  peer_addresses_.assign(peers.begin(), peers.end());
}

const std::vector<std::string>& GroupLifecycle::LeaderSearchAddresses(
    Instant now, Instant last_leader_contact) const {
  const bool voters_may_know = now - last_leader_contact < kVoterSearchTime;
  return voters_may_know && !voter_addresses_.empty() ? voter_addresses_ : peer_addresses_;
}

std::set<std::string> GroupLifecycle::ListedNodes() const {
  std::set<std::string> nodes;
  if (!machines_) return nodes;
  for (const infrastructure::Machine& machine : machines_->machines) nodes.insert(machine.node);
  return nodes;
}

// ---- First generation ----

void GroupLifecycle::Bootstrap(Instant now, const NodeRecord& own_record) {
  if (now >= next_hello_) {
    next_hello_ = now + kHelloInterval;
    for (const std::string& address : PeerAddresses()) {
      context_.SendToAddress(address, {}, Hello{own_record, true});
    }
  }
  if (!record_absent_ || !machines_ || being_written_) return;
  const Duration waited = now - absent_since_;
  const std::set<std::string> listed = ListedNodes();
  std::set<std::string> heard{context_.self.node};
  for (const auto& [instance, record] : greeted_) heard.insert(instance.node);
  const bool all_heard = std::includes(heard.begin(), heard.end(), listed.begin(), listed.end());
  const Duration delay = context_.config.bootstrap_delay;
  if (waited < (all_heard ? delay : 3 * delay)) return;
  // One daemon writes first, so that the others need not fail; they follow if it does not.
  const bool is_first = *heard.begin() == context_.self.node;
  if (!is_first && waited < 6 * delay) return;

  std::vector<NodeRecord> candidates{own_record};
  for (const auto& [instance, record] : greeted_) {
    if (!record.leaving) candidates.push_back(record);
  }
  GroupRecord record;
  record.generation = 1;
  record.initial = true;
  for (const InstanceId& voter : SpreadOverZones(candidates, context_.config.voter_count)) {
    const auto address =
        voter == context_.self ? context_.config.peer_address : greeted_.at(voter).peer_address;
    record.voters.push_back({voter, address});
  }
  record.checkpoint = ownership::AssignmentState().Encode();
  write_started_ = now;
  Write(0, std::move(record));
}

void GroupLifecycle::OnHello(Instant now, const Envelope& envelope, const Hello& hello,
                             const NodeRecord& own_record) {
  if (!IsKnown()) {
    // Only the newest process of a node counts.
    std::erase_if(greeted_, [&](const auto& entry) {
      return entry.first.node == envelope.from.node && entry.first != envelope.from;
    });
    greeted_[envelope.from] = hello.node;
    if (hello.reply_wanted) context_.Send(envelope.from, Hello{own_record, false});
    return;
  }
  if (!record_ || !hello.reply_wanted) return;
  GroupAnnouncement announcement;
  announcement.record = *record_;
  if (now - adopted_at_ > context_.config.recovery_delay) announcement.record.initial = false;
  context_.Send(envelope.from, std::move(announcement));
}

// ---- Writing the record ----

void GroupLifecycle::Write(int64_t expected_revision, GroupRecord record) {
  being_written_ = record;
  context_.actions.emplace_back(WriteGroupRecord{expected_revision, std::move(record)});
}

std::optional<GroupRecord> GroupLifecycle::OnGroupRecordWritten(Instant now, bool succeeded,
                                                                int64_t revision) {
  if (!being_written_) return std::nullopt;
  const GroupRecord record = std::move(*being_written_);
  being_written_.reset();
  next_read_ = {};
  if (!succeeded) {
    leaving_seal_ = false;
    recovery_.reset();
    next_recovery_ = now + context_.random.Between(Duration(0), kRecoveryPhaseTimeout);
    return std::nullopt;
  }
  record_absent_ = false;
  record_revision_ = revision;
  record_read_at_ = now;
  if (leaving_seal_) {
    leaving_seal_ = false;
    context_.actions.emplace_back(RestartInstance{"sealed generation is still in use"});
    return std::nullopt;
  }
  std::optional<GroupRecord> adopted = Adopt(record, revision);
  if (adopted) Announce(*adopted);
  return adopted;
}

void GroupLifecycle::Announce(const GroupRecord& record) {
  for (const std::string& address : PeerAddresses()) {
    context_.SendToAddress(address, {}, GroupAnnouncement{record, record_revision_});
  }
}

bool GroupLifecycle::WantsRefresh(Instant now, const std::vector<InstanceId>& voters,
                                  uint64_t version) {
  if (being_written_ || now - last_refresh_ < kVotersRefreshInterval) return false;
  if (record_revision_ == 0 || !record_) {
    last_refresh_ = now;
    next_read_ = {};
    return false;
  }
  std::vector<InstanceId> recorded;
  for (const GroupMember& voter : record_->voters) recorded.push_back(voter.instance);
  if (recorded != voters) return true;
  return record_->checkpoint_index != version && now - last_refresh_ > kStateRefreshInterval;
}

void GroupLifecycle::RefreshRecord(Instant now, GroupRecord record) {
  last_refresh_ = now;
  write_started_ = now;
  Write(record_revision_, std::move(record));
}

// ---- Recovery by a new generation ----

void GroupLifecycle::Recover(Instant now, Instant last_leader_contact, const NodeRecord& own_record,
                             const RecoveryState& own_state) {
  const Instant last_sign = std::max(last_leader_contact, adopted_at_);
  if (now - last_sign < context_.config.recovery_delay) {
    recovery_.reset();
    return;
  }
  if (recovery_ && now - recovery_->started > kRecoveryPhaseTimeout) recovery_.reset();
  if (!recovery_) StartRecovery(now);
  if (recovery_) ContinueRecovery(now, own_record, own_state);
}

void GroupLifecycle::StartRecovery(Instant now) {
  const bool record_is_fresh = record_ && record_->generation == context_.generation &&
                               now - record_read_at_ < kFreshness && record_revision_ > 0;
  if (!record_is_fresh || !machines_ || being_written_ || now < next_recovery_) return;
  if (now - machines_read_at_ > kFreshness) return;
  recovery_ = Recovery{record_revision_, true, now, now, {}};
  // Daemons start at different times, so that one recovery is usually through before the next.
  next_recovery_ =
      now + kRecoveryPhaseTimeout + context_.random.Between(Duration(0), kReadInterval);
  context_.Log("recovery_started", {{"generation", std::to_string(context_.generation)}}, true);
}

void GroupLifecycle::ContinueRecovery(Instant now, const NodeRecord& own_record,
                                      const RecoveryState& own_state) {
  const SealRequest request{context_.generation, recovery_->probing, recovery_->record_revision};
  recovery_->agreed[context_.self.node] = MakeSealReply(request, true, own_record, own_state);
  if (now >= recovery_->next_send) {
    recovery_->next_send = now + kSealInterval;
    for (const std::string& address : PeerAddresses()) {
      context_.SendToAddress(address, {}, request);
    }
  }
  if (being_written_ || !EveryMachineAccountedFor(now)) return;
  if (!recovery_->probing) {
    WriteNewGeneration(now);
    return;
  }
  recovery_ = Recovery{recovery_->record_revision, false, now, now, {}};
  if (!IsSealed()) sealed_at_ = now;
  sealed_generation_ = context_.generation;
}

SealReply GroupLifecycle::MakeSealReply(const SealRequest& request, bool agreed,
                                        const NodeRecord& own_record,
                                        const RecoveryState& own_state) const {
  SealReply reply;
  reply.generation = request.generation;
  reply.probe = request.probe;
  reply.record_revision = request.record_revision;
  reply.agreed = agreed;
  reply.node = own_record;
  reply.log_term = own_state.term;
  reply.log_index = own_state.index;
  if (!request.probe) reply.assignment = own_state.assignment->Encode();
  return reply;
}

bool GroupLifecycle::OnSealRequest(Instant now, const Envelope& envelope,
                                   const SealRequest& request, Instant last_leader_contact,
                                   const NodeRecord& own_record, const RecoveryState& own_state) {
  if (request.generation != context_.generation) return false;
  const Instant last_sign = std::max(last_leader_contact, adopted_at_);
  const bool agreed = IsSealed() || now - last_sign > context_.config.recovery_delay / 2;
  const bool newly_sealed = agreed && !request.probe && !IsSealed();
  if (newly_sealed) {
    sealed_generation_ = context_.generation;
    sealed_at_ = now;
    context_.Log("generation_sealed", {{"by", envelope.from.ToString()}}, true);
  }
  context_.Send(envelope.from, MakeSealReply(request, agreed, own_record, own_state));
  return newly_sealed;
}

void GroupLifecycle::OnSealReply(const Envelope& envelope, const SealReply& reply) {
  if (!recovery_ || !reply.agreed || reply.generation != context_.generation) return;
  if (reply.record_revision != recovery_->record_revision) return;
  if (reply.probe != recovery_->probing || reply.node.instance != envelope.from) return;
  recovery_->agreed[envelope.from.node] = reply;
}

bool GroupLifecycle::EveryMachineAccountedFor(Instant now) const {
  if (now - machines_read_at_ > kFreshness) return false;
  const std::set<std::string> listed = ListedNodes();
  return std::all_of(listed.begin(), listed.end(),
                     [&](const std::string& node) { return recovery_->agreed.contains(node); });
}

void GroupLifecycle::WriteNewGeneration(Instant now) {
  const SealReply* newest = nullptr;
  std::vector<NodeRecord> candidates;
  GroupRecord record;
  for (const auto& [node, reply] : recovery_->agreed) {
    candidates.push_back(reply.node);
    const auto position = std::make_pair(reply.log_term, reply.log_index);
    if (newest == nullptr || position > std::make_pair(newest->log_term, newest->log_index)) {
      newest = &reply;
    }
    record.checkpoint_term = std::max(record.checkpoint_term, reply.log_term);
    record.checkpoint_index = std::max(record.checkpoint_index, reply.log_index + 1);
    context_.Learn(reply.node.instance, reply.node.peer_address);
  }
  record.generation = context_.generation + 1;
  record.initial = true;
  record.checkpoint = newest->assignment;
  for (const InstanceId& voter : SpreadOverZones(candidates, context_.config.voter_count)) {
    record.voters.push_back({voter, context_.AddressOf(voter)});
  }
  for (GroupMember& voter : record.voters) {
    if (voter.instance == context_.self) voter.address = context_.config.peer_address;
  }
  context_.Log("recovery_writes", {{"generation", std::to_string(record.generation)}}, true);
  write_started_ = now;
  Write(recovery_->record_revision, std::move(record));
}

void GroupLifecycle::LeaveSeal(Instant now) {
  if (being_written_ || !record_ || record_revision_ == 0) return;
  if (now - record_read_at_ > kFreshness) return;
  // Writing the same record again voids every recovery that counts on this daemon's seal.
  leaving_seal_ = true;
  write_started_ = now;
  Write(record_revision_, *record_);
}

}  // namespace runshelf::coordination
