// Targets of downloads. Each states the size of its answer, "/pull/BYTES/NUMBER", so that the
// worker that makes the answer and the judge that checks it agree without further messages.
#pragma once

#include <string>
#include <string_view>

namespace runshelf::soak {

constexpr std::string_view kDownloadPrefix = "/pull/";

inline bool IsDownload(std::string_view target) { return target.starts_with(kDownloadPrefix); }

// What follows the usual answer of a worker in the answer to a download; empty for other targets.
inline std::string DownloadPadding(const std::string& target) {
  if (!IsDownload(target)) return {};
  return std::string(std::stoul(target.substr(kDownloadPrefix.size())), 'x');
}

}  // namespace runshelf::soak
