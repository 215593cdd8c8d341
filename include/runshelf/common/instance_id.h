// Identity of one run of one process.
//
// Machines have no disks: a restarted process remembers neither its votes nor its grants. It must
// therefore never be taken for the process that ran on the same node before, and every start draws
// a new incarnation.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "runshelf/common/random.h"

namespace runshelf {

struct InstanceId {
  std::string node;          // Name of the machine, unique in the fleet.
  uint64_t incarnation = 0;  // Drawn at random when the process starts; never zero for a real one.

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
