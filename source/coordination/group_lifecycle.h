// The replica group as a whole: its first generation, the knowledge of which generation is current,
// and recovery by a new generation when the majority of its voters is lost.
//
// Recovery never gives a slot to two servers: before a new generation is written, every machine
// that could still act for the old one has either given it up for good (sealed) or is gone from the
// platform's machine list. The write is a compare-and-swap on the revision of the old record, so at
// most one recovery succeeds; and the new leader waits out all grants that may still be in force.
// Broken by: a machine list that drops a machine which still runs and can be reached by the
// servers' callers, for longer than NodeConfig::max_pause.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "runshelf/infrastructure/machine_list.h"
#include "source/coordination/node_context.h"

namespace runshelf::coordination {

// What this daemon can bring into a recovery.
struct RecoveryState {
  uint64_t term = 0;
  uint64_t index = 0;
  const ownership::AssignmentState* assignment = nullptr;  // Never null.
};

class GroupLifecycle {
 public:
  explicit GroupLifecycle(NodeContext& context) : context_(context) { RebuildAddresses(); }

  // `last_leader_contact`: when a leader of the current generation was last heard of.
  void Tick(Instant now, Instant last_leader_contact, const ownership::NodeRecord& own_record,
            const RecoveryState& own_state);

  void OnMachineList(Instant now, const infrastructure::MachineListSnapshot& machines);

  // Each returns a record whose generation is to be adopted, if there is one.
  std::optional<GroupRecord> OnGroupRecord(Instant now, const std::optional<GroupRecord>& record,
                                           int64_t revision);
  std::optional<GroupRecord> OnGroupRecordWritten(Instant now, bool succeeded, int64_t revision);
  std::optional<GroupRecord> OnAnnouncement(const GroupAnnouncement& announcement);

  void OnHello(Instant now, const Envelope& envelope, const Hello& hello,
               const ownership::NodeRecord& own_record);
  // Returns whether this daemon gives up its generation now.
  bool OnSealRequest(Instant now, const Envelope& envelope, const SealRequest& request,
                     Instant last_leader_contact, const ownership::NodeRecord& own_record,
                     const RecoveryState& own_state);
  void OnSealReply(const Envelope& envelope, const SealReply& reply);

  // A message of a higher generation than ours arrived.
  void OnNewerGeneration() { next_read_ = {}; }

  // At the leader: whether the platform's record should be brought up to date now, so that
  // newcomers find the group and a recovery starts from a fresh checkpoint.
  bool WantsRefresh(Instant now, const std::vector<InstanceId>& voters, uint64_t version);
  void RefreshRecord(Instant now, GroupRecord record);

  // Whether this daemon has given up its current generation.
  bool IsSealed() const { return sealed_generation_ == context_.generation && IsKnown(); }

  // Addresses of all machines that may know the group, ascending.
  const std::vector<std::string>& PeerAddresses() const { return peer_addresses_; }
  // Where to ask for the leader: the voters at first, after a while everybody.
  const std::vector<std::string>& LeaderSearchAddresses(Instant now,
                                                        Instant last_leader_contact) const;
  std::set<std::string> ListedNodes() const;

 private:
  // An attempt to start a new generation. First everybody is asked whether they would give up the
  // old one: a daemon that is merely cut off finds others silent or content, and nobody is sealed.
  struct Recovery {
    int64_t record_revision = 0;
    bool probing = true;
    Instant started;  // Of the phase.
    Instant next_send;
    std::map<std::string, SealReply> agreed;  // By node name; of the phase.
  };

  bool IsKnown() const { return context_.generation != 0; }
  bool IsSelf(const std::string& address) const { return address == context_.config.peer_address; }
  void Announce(const GroupRecord& record);
  void RebuildAddresses();
  std::optional<GroupRecord> Adopt(const GroupRecord& record, int64_t revision);
  void ReadRecordWhenDue(Instant now, Instant last_leader_contact);
  void Bootstrap(Instant now, const ownership::NodeRecord& own_record);
  void Recover(Instant now, Instant last_leader_contact, const ownership::NodeRecord& own_record,
               const RecoveryState& own_state);
  void StartRecovery(Instant now);
  void ContinueRecovery(Instant now, const ownership::NodeRecord& own_record,
                        const RecoveryState& own_state);
  SealReply MakeSealReply(const SealRequest& request, bool agreed,
                          const ownership::NodeRecord& own_record,
                          const RecoveryState& own_state) const;
  void SendSealRequests(Instant now);
  bool EveryMachineAccountedFor(Instant now) const;
  void WriteNewGeneration(Instant now);
  void LeaveSeal(Instant now);
  void Write(int64_t expected_revision, GroupRecord record);

  NodeContext& context_;
  std::optional<GroupRecord> record_;  // Newest known.
  std::vector<std::string> peer_addresses_;
  std::vector<std::string> voter_addresses_;
  int64_t record_revision_ = 0;  // Of the record in the platform as last read or written.
  Instant record_read_at_;
  bool record_absent_ = false;
  Instant absent_since_;
  Instant next_read_;
  std::optional<GroupRecord> being_written_;
  Instant write_started_;
  Instant last_refresh_;
  Instant adopted_at_;  // When the current generation became known.
  Instant last_tick_;

  std::optional<infrastructure::MachineListSnapshot> machines_;
  Instant machines_read_at_;
  std::map<InstanceId, ownership::NodeRecord> greeted_;  // Heard of before any group existed.
  Instant next_hello_;

  uint64_t sealed_generation_ = 0;
  Instant sealed_at_;
  bool leaving_seal_ = false;
  std::optional<Recovery> recovery_;
  Instant next_recovery_;
};

}  // namespace runshelf::coordination
