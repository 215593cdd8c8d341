// The settings file: errors are reported with their place, never thrown.
#include "fuzz/fuzz_target.h"
#include "source/daemon/settings.h"

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text = runshelf::fuzz::ToText(data, size);
  const auto result = runshelf::daemon::ParseSettings(text, "fuzz.toml", {});
  if (result.errors.empty()) runshelf::fuzz::CountAccepted();
  for (const auto& error : result.errors) {
    runshelf::fuzz::Require(!error.reason.empty(), "every error has a reason");
  }
  return 0;
}
