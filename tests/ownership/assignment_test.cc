#include "runshelf/ownership/assignment.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

using runshelf::InstanceId;
using runshelf::SlotNumber;
using runshelf::ownership::AssignmentCommand;
using runshelf::ownership::AssignmentState;
using runshelf::ownership::AssignmentUpdate;
using runshelf::ownership::NodeRecord;
using runshelf::ownership::SlotMove;

namespace {

constexpr uint32_t kSlots = 16;

InstanceId Instance(int number) { return {"n" + std::to_string(number % 4), 1U + (number / 4U)}; }

NodeRecord Record(int number) {
  return {Instance(number), "z1", "feedread", "127.0.0.1:1", "127.0.0.1:2", kSlots, false};
}

AssignmentCommand RandomCommand() {
  AssignmentCommand command;
  if (*rc::gen::inRange(0, 3) == 0) {
    command.registered.push_back(Record(*rc::gen::inRange(0, 8)));
    command.registered.back().leaving = *rc::gen::arbitrary<bool>();
  }
  if (*rc::gen::inRange(0, 4) == 0) {
    command.removed.push_back(Instance(*rc::gen::inRange(0, 8)));
  }
  const SlotNumber first = *rc::gen::inRange(0U, kSlots);
  const SlotNumber last = *rc::gen::inRange(first, kSlots + 2);
  const int from = *rc::gen::inRange(-1, 8);
  const int to = *rc::gen::inRange(-1, 8);
  command.moves.push_back({"feedread",
                           {{first, last}},
                           from < 0 ? InstanceId{} : Instance(from),
                           to < 0 ? InstanceId{} : Instance(to)});
  return command;
}

// The same rules written down without any of the state's structure: one map entry for each slot.
class NaiveAssignment {
 public:
  void Apply(const AssignmentCommand& command) {
    for (const NodeRecord& record : command.registered) {
      const auto found = nodes_.find(record.instance.node);
      if (found == nodes_.end() || found->second == record.instance) {
        nodes_[record.instance.node] = record.instance;
      }
    }
    for (const InstanceId& instance : command.removed) {
      if (!IsRegistered(instance)) continue;
      nodes_.erase(instance.node);
      for (auto& [slot, owner] : owners_) {
        if (owner == instance) owner = {};
      }
    }
    for (const SlotMove& move : command.moves) {
      if (!move.to.empty() && !IsRegistered(move.to)) continue;
      for (SlotNumber slot = move.ranges[0].first; slot <= move.ranges[0].last; ++slot) {
        if (owners_[slot] == move.from) owners_[slot] = move.to;
      }
    }
  }

  InstanceId OwnerOf(SlotNumber slot) { return owners_[slot]; }

 private:
  bool IsRegistered(const InstanceId& instance) const {
    const auto found = nodes_.find(instance.node);
    return found != nodes_.end() && found->second == instance;
  }

  std::map<std::string, InstanceId> nodes_;
  std::map<SlotNumber, InstanceId> owners_;
};

}  // namespace

TEST_GROUP(Assignment){};

TEST(Assignment, OwnersMatchTheNaiveMap) {
  CHECK(rc::check("AssignmentState agrees with one map entry per slot", [] {
    AssignmentState state;
    NaiveAssignment naive;
    AssignmentCommand first;
    first.registered.push_back(Record(0));
    state.Apply(1, first);
    naive.Apply(first);
    const int commands = *rc::gen::inRange(1, 30);
    for (int i = 0; i < commands; ++i) {
      const AssignmentCommand command = RandomCommand();
      state.Apply(static_cast<uint64_t>(i) + 2, command);
      naive.Apply(command);
    }
    for (SlotNumber slot = 0; slot < kSlots; ++slot) {
      RC_ASSERT(state.services().at("feedread").owners[slot] == naive.OwnerOf(slot));
    }
  }));
}

TEST(Assignment, UpdatesFromAnyVersionLeadToTheSameState) {
  CHECK(rc::check("a holder that applies updates equals the whole state", [] {
    AssignmentState state;
    AssignmentState follower;
    const int commands = *rc::gen::inRange(1, 40);
    for (int i = 0; i < commands; ++i) {
      state.Apply(static_cast<uint64_t>(i) * 3 + 1, RandomCommand());
      if (*rc::gen::inRange(0, 3) != 0) continue;
      const AssignmentUpdate update = state.UpdateSince(follower.version());
      RC_ASSERT(follower.ApplyUpdate(update).ok());
      RC_ASSERT(follower == state);
      // The same update once more, as after a duplicated message, changes nothing.
      RC_ASSERT(follower.ApplyUpdate(update).ok());
      RC_ASSERT(follower == state);
    }
  }));
}

TEST(Assignment, AHolderFarBehindGetsTheWholeState) {
  AssignmentState state;
  AssignmentCommand command;
  command.registered.push_back(Record(0));
  for (uint64_t version = 1; version <= 1000; ++version) state.Apply(version, command);
  CHECK_FALSE(state.UpdateSince(10).whole_state.empty());
  CHECK(state.UpdateSince(999).whole_state.empty());
}

TEST(Assignment, AnUpdateThatStartsBeyondTheHolderIsRefused) {
  AssignmentState state;
  AssignmentCommand command;
  command.registered.push_back(Record(0));
  state.Apply(5, command);
  state.Apply(9, command);
  AssignmentState follower;
  CHECK(absl::IsFailedPrecondition(follower.ApplyUpdate(state.UpdateSince(5))));
  UNSIGNED_LONGS_EQUAL(0, follower.version());
}

TEST(Assignment, EncodedStateAndCommandsAreParsedBack) {
  CHECK(rc::check("Decode is the inverse of Encode", [] {
    AssignmentState state;
    for (uint64_t version = 1; version < 6; ++version) {
      const AssignmentCommand command = RandomCommand();
      RC_ASSERT(*runshelf::ownership::DecodeCommand(runshelf::ownership::EncodeCommand(command)) ==
                command);
      state.Apply(version, command);
    }
    RC_ASSERT(*AssignmentState::Decode(state.Encode()) == state);
  }));
}

TEST(Assignment, MalformedTextIsRefusedNotThrown) {
  for (const char* text :
       {"", "{", "[]", "null", "{\"v\":-1,\"n\":[],\"s\":{}}", "{\"v\":1,\"n\":[{}],\"s\":{}}",
        "{\"v\":1,\"n\":[],\"s\":{\"a\":{\"o\":[\"\"],\"r\":[[4294967295,0]]}}}",
        "{\"v\":1,\"n\":[],\"s\":{\"a\":{\"o\":[],\"r\":[[1,0]]}}}"}) {
    CHECK_FALSE(AssignmentState::Decode(text).ok());
  }
  CHECK_FALSE(AssignmentState::Decode(std::string(100000, '[')).ok());
  CHECK_FALSE(runshelf::ownership::DecodeCommand("{\"m\":[{\"s\":1}]}").ok());
}
