// Memory of another process, as the operating system accounts for it.
#pragma once

#include <fmt/format.h>
#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <string>

namespace runshelf::overload {

// Most memory in bytes that the process has had in use; zero if it has ended.
inline uint64_t PeakMemory(pid_t pid) {
  constexpr std::string_view kField = "VmHWM:";
  constexpr uint64_t kKilobyte = 1024;
  std::ifstream status(fmt::format("/proc/{}/status", pid));
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with(kField)) return std::stoull(line.substr(kField.size())) * kKilobyte;
  }
  return 0;
}

}  // namespace runshelf::overload
