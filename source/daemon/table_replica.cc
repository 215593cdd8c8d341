#include "source/daemon/table_replica.h"

#include "runshelf/common/log.h"
#include "runshelf/table/table_json.h"

namespace runshelf::daemon {

int64_t MirrorTableReplica::Revision() const { return mirror_.Current()->revision(); }

std::string MirrorTableReplica::ChangesSince(int64_t revision) const {
  return table::EncodeDelta(mirror_.Current()->ChangesSince(revision));
}

bool MirrorTableReplica::Apply(const std::string& changes) {
  const absl::StatusOr<table::TableDelta> delta = table::DecodeDelta(changes);
  if (!delta.ok()) {
    return false;
  }
  const absl::StatusOr<bool> advanced = mirror_.ApplyDelta(*delta);
  if (advanced.ok() && *advanced) {
    const table::TableSnapshot current = mirror_.Current();
    published_.Publish(current);
    LogEvent(LogLevel::kInfo, "table_updated",
             {{"revision", current->revision()}, {"source", "peer"}});
  }
  return advanced.ok();
}

}  // namespace runshelf::daemon
