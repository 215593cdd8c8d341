// File access for runshelfctl, with standard input and output as special cases.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace runshelf::ctl {

// File name that denotes standard input or standard output.
inline constexpr std::string_view kStandardStream = "-";

// Returns the first `max_size` bytes of the file, or of standard input for kStandardStream. Returns
// kNotFound if the file cannot be opened and kDataLoss if reading fails.
absl::StatusOr<std::string> ReadFile(const std::string& file, size_t max_size);

// Replaces the contents of the file. Returns kPermissionDenied if it cannot be opened and kDataLoss
// if writing fails.
absl::Status WriteFile(const std::string& file, std::string_view text);

// Returns `text` with each ASCII control character replaced by "?", so that untrusted text cannot
// send escape sequences to the terminal.
std::string Printable(std::string_view text);

}  // namespace runshelf::ctl
