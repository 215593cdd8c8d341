#include "runshelf/common/json_writer.h"

namespace runshelf {

std::string SerializeJson(const nlohmann::json& value) {
  constexpr int kNoIndentation = -1;
  return value.dump(kNoIndentation, ' ', /*ensure_ascii=*/false,
                    nlohmann::json::error_handler_t::replace);
}

}  // namespace runshelf
