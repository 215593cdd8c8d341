#include "source/sidecar/table_overrides.h"

#include "runshelf/table/store_records.h"

namespace runshelf::sidecar {
namespace {

// Keys of store items have no leading slash, keys of the table's records do.
std::string TableKey(const std::string& key) { return "/" + key; }

}  // namespace

bool TableOverrides::IsCellKey(const std::string& key) {
  return TableKey(key).starts_with(table::kTablePrefix);
}

bool TableOverrides::OnItem(const store::Item& item) {
  infrastructure::KeyValue key_value;
  key_value.key = TableKey(item.key);
  key_value.value = item.value;
  key_value.mod_revision = item.revision;
  const auto cell = table::DecodeStoredCell(key_value);
  if (!cell.ok()) {
    OnRemoved(item.key);
    return false;
  }
  cells_[cell->key] = cell->value;
  return true;
}

void TableOverrides::OnRemoved(const std::string& key) {
  const auto cell = table::CellKeyOfStoreKey(TableKey(key));
  if (cell.ok()) cells_.erase(*cell);
}

const table::CellValue* TableOverrides::Find(const std::string& service,
                                             const std::string& caller_class) const {
  if (cells_.empty()) return nullptr;
  const auto found = cells_.find({service, caller_class});
  return found == cells_.end() ? nullptr : &found->second;
}

}  // namespace runshelf::sidecar
