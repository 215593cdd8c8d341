#include "source/coordination/binary_bounds.h"

#include "runshelf/common/json_reader.h"

namespace runshelf::coordination {
namespace {

using nlohmann::json;

// The size that nlohmann/json reports for an array or object without an announced size.
constexpr size_t kUnknownSize = static_cast<size_t>(-1);

// Visits the values without building them; a visit that returns false ends the parsing.
class BoundsChecker : public nlohmann::json_sax<json> {
 public:
  explicit BoundsChecker(size_t byte_count) : byte_count_(byte_count) {}

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool key(string_t&) override { return true; }
  bool start_object(size_t size) override { return Enter(size); }
  bool end_object() override { return Leave(); }
  bool start_array(size_t size) override { return Enter(size); }
  bool end_array() override { return Leave(); }
  bool parse_error(size_t, const std::string&, const json::exception&) override { return false; }

 private:
  // Each element takes at least one byte.
  bool Enter(size_t size) {
    return ++depth_ <= kMaxJsonDepth && (size == kUnknownSize || size <= byte_count_);
  }
  bool Leave() {
    --depth_;
    return true;
  }

  const size_t byte_count_;
  int depth_ = 0;
};

}  // namespace

bool IsBoundedBinary(const std::string& bytes, json::input_format_t format) {
  BoundsChecker checker(bytes.size());
  return json::sax_parse(bytes, &checker, format);
}

}  // namespace runshelf::coordination
