// The cells of the operators' table that were edited. They override the values that follow from the
// routes.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "runshelf/table/cell.h"
#include "source/store/store_operations.h"

namespace runshelf::sidecar {

// Keeps the edited cells as read from the store. Not thread-safe.
class TableOverrides {
 public:
  // Returns true if `key` is the store key of a cell.
  static bool IsCellKey(const std::string& key);

  // Applies an item that was written to the store. Returns false if it cannot be decoded; the cell
  // then counts as not edited.
  bool OnItem(const store::Item& item);
  // Applies the deletion of an item; ignores keys that are not those of a cell.
  void OnRemoved(const std::string& key);

  // Returns the edited cell, or nullptr if there is none. The pointer is valid until the next call
  // of OnItem() or OnRemoved().
  const table::CellValue* Find(const std::string& service, const std::string& caller_class) const;

 private:
  std::map<table::CellKey, table::CellValue> cells_;
};

}  // namespace runshelf::sidecar
