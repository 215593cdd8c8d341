// Lets a Node spread the table of a TableMirror.
#pragma once

#include <cstdint>
#include <string>

#include "runshelf/coordination/node.h"
#include "runshelf/table/table_mirror.h"

namespace runshelf::sim {

class MirrorReplica : public coordination::TableReplica {
 public:
  // `mirror` must outlive the replica.
  explicit MirrorReplica(table::TableMirror& mirror) : mirror_(mirror) {}

  int64_t Revision() const override;
  std::string ChangesSince(int64_t revision) const override;
  bool Apply(const std::string& changes) override;

 private:
  table::TableMirror& mirror_;
};

}  // namespace runshelf::sim
