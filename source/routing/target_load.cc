#include "runshelf/routing/target_load.h"

#include <fmt/format.h>

#include <array>
#include <charconv>

namespace runshelf::routing {

std::string TargetLoad::ToString() const {
  return fmt::format("{},{},{},{}", running, queued, slots, cold ? "cold" : "warm");
}

std::optional<TargetLoad> TargetLoad::Parse(std::string_view text) {
  std::array<uint32_t, 3> numbers{};
  for (uint32_t& number : numbers) {
    const auto [next, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc()) return std::nullopt;
    text.remove_prefix(static_cast<size_t>(next - text.data()));
    if (text.empty() || text.front() != ',') return std::nullopt;
    text.remove_prefix(1);
  }
  if (text != "cold" && text != "warm") return std::nullopt;
  return TargetLoad{numbers[0], numbers[1], numbers[2], text == "cold", 0};
}

}  // namespace runshelf::routing
