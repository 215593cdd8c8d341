#include "runshelf/common/json_reader.h"

#include <limits>

namespace runshelf {

using nlohmann::json;

bool HasBoundedDepth(const std::string& text) {
  int depth = 0;
  bool in_string = false;
  bool escaped = false;
  for (const char character : text) {
    if (in_string) {
      if (escaped) {
        escaped = false;
      } else if (character == '\\') {
        escaped = true;
      } else if (character == '"') {
        in_string = false;
      }
      continue;
    }
    if (character == '"') in_string = true;
    if (character == '[' || character == '{') ++depth;
    if (character == ']' || character == '}') --depth;
    if (depth > kMaxJsonDepth) return false;
  }
  return true;
}

const json* JsonReader::Find(const char* key) const {
  if (!value_.is_object()) return nullptr;
  const auto found = value_.find(key);
  return found == value_.end() ? nullptr : &*found;
}

const json* JsonReader::Require(const char* key) {
  const json* field = Find(key);
  if (field == nullptr) ok_ = false;
  return field;
}

JsonReader& JsonReader::Read(const char* key, std::string& out) {
  const json* field = Require(key);
  if (field == nullptr) return *this;
  if (!field->is_string()) {
    ok_ = false;
    return *this;
  }
  out = field->get<std::string>();
  return *this;
}

JsonReader& JsonReader::Read(const char* key, bool& out) {
  const json* field = Require(key);
  if (field == nullptr) return *this;
  if (!field->is_boolean()) {
    ok_ = false;
    return *this;
  }
  out = field->get<bool>();
  return *this;
}

JsonReader& JsonReader::Read(const char* key, uint64_t& out) {
  const json* field = Require(key);
  if (field == nullptr) return *this;
  if (!field->is_number_unsigned()) {
    ok_ = false;
    return *this;
  }
  out = field->get<uint64_t>();
  return *this;
}

JsonReader& JsonReader::Read(const char* key, uint32_t& out) {
  uint64_t wide = 0;
  Read(key, wide);
  if (wide > std::numeric_limits<uint32_t>::max()) {
    ok_ = false;
    return *this;
  }
  out = static_cast<uint32_t>(wide);
  return *this;
}

JsonReader& JsonReader::Read(const char* key, int64_t& out) {
  const json* field = Require(key);
  if (field == nullptr) return *this;
  const bool too_large =
      field->is_number_unsigned() &&
      field->get<uint64_t>() > static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
  if (!field->is_number_integer() || too_large) {
    ok_ = false;
    return *this;
  }
  out = field->get<int64_t>();
  return *this;
}

JsonReader& JsonReader::Read(const char* key, double& out) {
  const json* field = Require(key);
  if (field == nullptr) return *this;
  if (!field->is_number()) {
    ok_ = false;
    return *this;
  }
  out = field->get<double>();
  return *this;
}

JsonReader& JsonReader::Read(const char* key, InstanceId& out) {
  const json* field = Require(key);
  if (field != nullptr && !ParseInstance(*field, out)) ok_ = false;
  return *this;
}

JsonReader& JsonReader::Read(const char* key, std::vector<InstanceId>& out) {
  return ReadArray(key, out, ParseInstance);
}

JsonReader& JsonReader::Read(const char* key, std::vector<uint64_t>& out) {
  return ReadArray(key, out, [](const json& element, uint64_t& item) {
    if (!element.is_number_unsigned()) return false;
    item = element.get<uint64_t>();
    return true;
  });
}

JsonReader& JsonReader::Read(const char* key, std::vector<SlotRange>& out) {
  return ReadArray(key, out, [](const json& element, SlotRange& item) {
    if (!element.is_array() || element.size() != 2) return false;
    if (!element[0].is_number_unsigned() || !element[1].is_number_unsigned()) return false;
    const uint64_t first = element[0].get<uint64_t>();
    const uint64_t last = element[1].get<uint64_t>();
    if (first > last || last >= kMaxSlotCount) return false;
    item = {static_cast<SlotNumber>(first), static_cast<SlotNumber>(last)};
    return true;
  });
}

json ToJson(const std::vector<InstanceId>& instances) {
  json array = json::array();
  for (const InstanceId& instance : instances) {
    array.push_back(instance.empty() ? "" : instance.ToString());
  }
  return array;
}

json ToJson(const std::vector<SlotRange>& ranges) {
  json array = json::array();
  for (const SlotRange& range : ranges) array.push_back(json::array({range.first, range.last}));
  return array;
}

bool ParseInstance(const json& value, InstanceId& out) {
  if (!value.is_string()) return false;
  const auto& text = value.get_ref<const std::string&>();
  if (text.empty()) {
    out = {};
    return true;
  }
  out = InstanceId::Parse(text);
  return !out.empty();
}

}  // namespace runshelf
