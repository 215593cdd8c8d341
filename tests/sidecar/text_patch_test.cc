#include "source/sidecar/text_patch.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <string>

using namespace runshelf::sidecar;

namespace {

// Rows as in a shard map; the row `changed` has a different token.
std::string Rows(int count, int changed) {
  std::string text = "{\"last_token\":7,\"shards\":[";
  for (int row = 0; row < count; ++row) {
    text += "[" + std::to_string(row * 100) + "," + std::to_string(row == changed ? 9 : 3) + "],";
  }
  return text + "]}";
}

}  // namespace

TEST_GROUP(TextPatch){};

TEST(TextPatch, TurnsTheBaseIntoTheText) {
  const bool holds = rc::check([] {
    const auto alphabet = rc::gen::element('a', ']', '[', ',');
    const auto base = *rc::gen::container<std::string>(alphabet);
    const auto text = *rc::gen::container<std::string>(alphabet);
    RC_ASSERT(ApplyTextPatch(base, MakeTextPatch(base, text)) == text);
  });
  CHECK(holds);
}

TEST(TextPatch, IsShortWhenFewRowsChanged) {
  const std::string base = Rows(400, -1);
  const std::string patch = MakeTextPatch(base, Rows(400, 200));
  CHECK(patch.size() < 60);
  CHECK(ApplyTextPatch(base, patch) == Rows(400, 200));
}

TEST(TextPatch, MalformedPatchesAndTooShortBasesAreRefused) {
  const std::string base = Rows(20, -1);
  const std::string patch = MakeTextPatch(base, Rows(20, 3));
  for (size_t size = 0; size < patch.size(); ++size) {
    CHECK_FALSE(ApplyTextPatch(base, patch.substr(0, size)).has_value());
  }
  CHECK_FALSE(ApplyTextPatch(base.substr(0, 40), patch).has_value());
  CHECK_FALSE(ApplyTextPatch(base, "no patch").has_value());
}
