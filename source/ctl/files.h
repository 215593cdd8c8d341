// Files and standard streams as runshelfctl reads and writes them.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace runshelf::ctl {

// Stands for standard input or output in place of a file name.
inline constexpr std::string_view kStandardStream = "-";

// Returns at most `max_size` bytes of the file. kNotFound when it cannot be opened, kDataLoss when
// reading fails.
absl::StatusOr<std::string> ReadFile(const std::string& file, size_t max_size);

// Replaces the file. kPermissionDenied when it cannot be opened, kDataLoss when writing fails.
absl::Status WriteFile(const std::string& file, std::string_view text);

// Returns `text` with control characters replaced, so that it cannot disturb a terminal.
std::string Printable(std::string_view text);

}  // namespace runshelf::ctl
