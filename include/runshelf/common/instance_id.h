// Identity of one run of a process.
//
// Machines have no disks, so a restarted process has lost its votes and grants. It must never be
// mistaken for the previous process on the same node; every start therefore draws a new random
// incarnation number.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "runshelf/common/random.h"

namespace runshelf {

// A process on a node. Ordered by node, then by incarnation.
struct InstanceId {
  std::string node;          // Name of the machine, unique in the fleet.
  uint64_t incarnation = 0;  // Drawn at random at each start; zero only in an empty identity.

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm of clang-tidy 14 on `= default`.
  auto operator<=>(const InstanceId&) const = default;

  bool empty() const { return node.empty(); }

  // "node/incarnation in hexadecimal", for logs and as a JSON object key.
  std::string ToString() const;

  // Parses the form that ToString returns; an empty InstanceId when `text` has another form.
  static InstanceId Parse(const std::string& text);
};

// Returns an identity for a process that starts now on `node`.
InstanceId NewInstanceId(const std::string& node, Random& random);

}  // namespace runshelf
