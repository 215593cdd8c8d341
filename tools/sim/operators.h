// Simulated operators who edit the table, often the same cells at the same time.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "runshelf/table/table_editor.h"
#include "tools/sim/blocking_task.h"
#include "tools/sim/deployment.h"
#include "tools/sim/judge.h"
#include "tools/sim/naive.h"
#include "tools/sim/platform.h"
#include "tools/sim/simulated_store.h"

namespace runshelf::sim {

struct OperatorConfig {
  uint32_t operators = 2;
  Duration shortest_pause = std::chrono::milliseconds(100);
  Duration longest_pause = std::chrono::milliseconds(1500);
};

class Operators {
 public:
  Operators(EventQueue& queue, Network& network, Platform& platform, Judge& judge, Random& random,
            const Deployment& deployment, const NaiveParts& naive, const OperatorConfig& config);

  // Writes the first table at once, without faults.
  void CreateTable();
  void Start();
  // No new edits; those under way go on.
  void Stop() { running_ = false; }

 private:
  void Run(BlockingTask& task, uint32_t number);
  void Edit(BlockingTask& task, table::TableEditor& editor, uint32_t number);
  table::EditResult WriteWholeTable(SimulatedStore& store, const table::CellKey& key,
                                    const table::CellValue& value);
  table::CellKey DrawCell();

  EventQueue& queue_;
  Network& network_;
  Platform& platform_;
  Judge& judge_;
  SeededRandom random_;
  Deployment deployment_;
  NaiveParts naive_;
  OperatorConfig config_;
  HostIndex host_;
  bool running_ = false;
  std::vector<std::unique_ptr<BlockingTask>> tasks_;
};

}  // namespace runshelf::sim
