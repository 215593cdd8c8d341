// The cells of the operators' table that were edited: they go before what routes give.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "runshelf/table/cell.h"
#include "source/store/store_operations.h"

namespace runshelf::sidecar {

// Cells lie in the store under the product's own keys. Not thread-safe.
class TableOverrides {
 public:
  // True when `key` is one of a cell. A cell that cannot be read is as if it did not exist.
  static bool IsCellKey(const std::string& key);

  // Takes over a cell as it was written; false when it cannot be read.
  bool OnItem(const store::Item& item);
  void OnRemoved(const std::string& key);

  // The edited cell; nullptr when there is none.
  const table::CellValue* Find(const std::string& service, const std::string& caller_class) const;

 private:
  std::map<table::CellKey, table::CellValue> cells_;
};

}  // namespace runshelf::sidecar
