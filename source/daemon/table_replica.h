// The operators' table as the coordination part passes it on between daemons.
#pragma once

#include <cstdint>
#include <string>

#include "runshelf/coordination/node.h"
#include "runshelf/table/table_mirror.h"
#include "source/daemon/published.h"

namespace runshelf::daemon {

// Adapts a TableMirror. Safe for use by several threads at once.
class MirrorTableReplica : public coordination::TableReplica {
 public:
  // Both must outlive the replica; `published` follows `mirror`.
  MirrorTableReplica(table::TableMirror& mirror, Published<table::Table>& published)
      : mirror_(mirror), published_(published) {}

  int64_t Revision() const override;
  std::string ChangesSince(int64_t revision) const override;
  bool Apply(const std::string& changes) override;

 private:
  table::TableMirror& mirror_;
  Published<table::Table>& published_;
};

}  // namespace runshelf::daemon
