// Messages of the state feed between nodes: beacons and change sets.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "source/store/prefix_watcher.h"

namespace runshelf::sidecar {

// Sent regularly by the leader: the revision up to which its copy of each prefix is complete.
struct StateBeacon {
  std::string node;
  std::map<std::string, store::Revision> revisions;

  std::string Serialize() const;
  // nullopt when `text` is not a valid beacon.
  static std::optional<StateBeacon> Parse(std::string_view text);
};

// A change of one item as forwarded between nodes.
struct ForwardedEvent {
  store::WatchEvent event;
  // Zero: the event holds the full value. Otherwise the value is a text patch (see text_patch.h)
  // against the item's value at this revision.
  store::Revision base_revision = 0;
};

struct ForwardedChanges {
  bool complete = false;  // The events list all items; see store::ChangeSet.
  store::Revision from = 0;
  store::Revision to = 0;
  std::vector<ForwardedEvent> events;
};

// Converts a change set for forwarding, without patches.
ForwardedChanges WithFullValues(const store::ChangeSet& changes);
// Removes changes that a later change of the same item in the set supersedes. Receivers would not
// have the superseded value that a patch is based on.
store::ChangeSet LatestOfEachItem(store::ChangeSet changes);
// Replaces patches by full values, using the receiver's items as bases. nullopt when the base of a
// patch is missing or has another revision.
std::optional<store::ChangeSet> ApplyPatches(const ForwardedChanges& changes,
                                             const std::map<std::string, store::Item>& items);

// Wire format of a change set: CBOR, since values may contain arbitrary bytes.
std::string SerializeChanges(const std::string& prefix, const ForwardedChanges& changes);
// Returns false when `text` is not a valid change set.
bool ParseChanges(std::string_view text, std::string* prefix, ForwardedChanges* changes);

}  // namespace runshelf::sidecar
