// Typed reading of untrusted JSON: a missing field, a wrong type or a number out of range makes
// ok() false instead of throwing.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "runshelf/common/instance_id.h"
#include "runshelf/common/slot.h"

namespace runshelf {

// Maximum nesting depth of arrays and objects; deeper input is refused without parsing it.
constexpr int kMaxJsonDepth = 32;

// Maximum number of slots of one service; limits how far a short list of ranges can expand.
constexpr SlotNumber kMaxSlotCount = 1U << 20U;

// Whether `text` nests arrays and objects at most kMaxJsonDepth deep; does not parse it.
bool HasBoundedDepth(const std::string& text);

// Reads fields of one JSON object. After all reads, ok() tells whether every field was present and
// valid. `value` must outlive the reader.
class JsonReader {
 public:
  explicit JsonReader(const nlohmann::json& value) : value_(value), ok_(value.is_object()) {}

  bool ok() const { return ok_; }
  void Fail() { ok_ = false; }

  // Returns the field; nullptr when it is missing, which makes ok() false.
  const nlohmann::json* Require(const char* key);
  // Returns the field, or nullptr when it is missing.
  const nlohmann::json* Find(const char* key) const;

  JsonReader& Read(const char* key, std::string& out);
  JsonReader& Read(const char* key, bool& out);
  JsonReader& Read(const char* key, uint64_t& out);
  JsonReader& Read(const char* key, uint32_t& out);
  JsonReader& Read(const char* key, int64_t& out);
  JsonReader& Read(const char* key, double& out);
  JsonReader& Read(const char* key, InstanceId& out);
  JsonReader& Read(const char* key, std::vector<InstanceId>& out);
  JsonReader& Read(const char* key, std::vector<uint64_t>& out);
  JsonReader& Read(const char* key, std::vector<SlotRange>& out);

  // Reads an array by calling `parse(element, item) -> bool` for each element.
  template <typename Item, typename Parse>
  JsonReader& ReadArray(const char* key, std::vector<Item>& out, Parse parse) {
    const nlohmann::json* array = Require(key);
    if (array == nullptr) return *this;
    if (!array->is_array()) {
      ok_ = false;
      return *this;
    }
    for (const nlohmann::json& element : *array) {
      Item item;
      if (!parse(element, item)) {
        ok_ = false;
        return *this;
      }
      out.push_back(std::move(item));
    }
    return *this;
  }

 private:
  const nlohmann::json& value_;
  bool ok_;
};

// Writes the formats that Read accepts: an InstanceId as its text, ranges as [[first, last], ...].
nlohmann::json ToJson(const std::vector<InstanceId>& instances);
nlohmann::json ToJson(const std::vector<SlotRange>& ranges);

// Parses one InstanceId; an empty string stands for no instance. Returns false when `value` is
// neither.
bool ParseInstance(const nlohmann::json& value, InstanceId& out);

}  // namespace runshelf
