// What nodes tell each other of the state in the store: beacons and sets of changes.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "source/store/prefix_watcher.h"

namespace runshelf::sidecar {

// What a beacon says: the leader's copy of each prefix is complete up to a revision.
struct StateBeacon {
  std::string node;
  std::map<std::string, store::Revision> revisions;

  std::string Serialize() const;
  // nullopt when `text` is no beacon.
  static std::optional<StateBeacon> Parse(std::string_view text);
};

// A change of the state as one node passes it on to another.
struct ForwardedEvent {
  store::WatchEvent event;
  // Zero: the value is whole. Else it is a text patch of the value at this revision.
  store::Revision base_revision = 0;
};

struct ForwardedChanges {
  bool complete = false;  // The events are all items; see store::ChangeSet.
  store::Revision from = 0;
  store::Revision to = 0;
  std::vector<ForwardedEvent> events;
};

// All values whole.
ForwardedChanges WithFullValues(const store::ChangeSet& changes);
// Leaves out changes that a later one of the same item in the set replaces: a patch that started
// from them would find another value at the receivers.
store::ChangeSet LatestOfEachItem(store::ChangeSet changes);
// Replaces patches by values, from the receiver's copy of the items; nullopt: it does not have the
// value that a patch starts from.
std::optional<store::ChangeSet> ApplyPatches(const ForwardedChanges& changes,
                                             const std::map<std::string, store::Item>& items);

// Forms of a change set between nodes: CBOR, since values may hold any bytes.
std::string SerializeChanges(const std::string& prefix, const ForwardedChanges& changes);
// Returns false when `text` is no change set.
bool ParseChanges(std::string_view text, std::string* prefix, ForwardedChanges* changes);

}  // namespace runshelf::sidecar
