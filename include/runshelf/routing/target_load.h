// The load that an instance reports with each forwarded response.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace runshelf::routing {

// Load of the server beside an instance, as that instance's daemon knows it.
struct TargetLoad {
  uint32_t running = 0;  // Requests in the server's slots.
  uint32_t queued = 0;   // Requests that wait at the instance.
  uint32_t slots = 0;    // Requests that the server runs at once; zero when unknown.
  bool cold = false;     // The server started lately and is slower than usual.
  // Percentage of requests that the server refuses although it has free slots. Not in ToString().
  uint32_t refused_percent = 0;

  bool operator==(const TargetLoad&) const = default;

  // "running,queued,slots,cold|warm": the value of the response header Runshelf-Load.
  std::string ToString() const;

  // Parses the form that ToString returns; nullopt when `text` has another form.
  static std::optional<TargetLoad> Parse(std::string_view text);
};

}  // namespace runshelf::routing
