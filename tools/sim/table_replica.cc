#include "tools/sim/table_replica.h"

#include "runshelf/table/table_json.h"

namespace runshelf::sim {

int64_t MirrorReplica::Revision() const { return mirror_.Current()->revision(); }

std::string MirrorReplica::ChangesSince(int64_t revision) const {
  return table::EncodeDelta(mirror_.Current()->ChangesSince(revision));
}

bool MirrorReplica::Apply(const std::string& changes) {
  const absl::StatusOr<table::TableDelta> delta = table::DecodeDelta(changes);
  return delta.ok() && mirror_.ApplyDelta(*delta).ok();
}

}  // namespace runshelf::sim
