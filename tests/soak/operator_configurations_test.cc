#include "tests/soak/operator_configurations.h"

#include <CppUTest/TestHarness.h>

#include "platform/configuration.h"

using namespace runshelf;
using namespace runshelf::soak;

TEST_GROUP(OperatorConfigurations){};

// Every configuration can be decoded by the nodes and has the routes and services that are reported
// to the judge.
TEST(OperatorConfigurations, ConfigurationsAreValidWithRisingVersions) {
  OperatorConfigurations operators(3);
  int64_t version = 0;
  size_t split = 0;
  size_t without_extra = 0;
  for (int count = 0; count < 200; ++count) {
    const WrittenConfiguration written = operators.Next();
    const auto decoded = platform_adapter::DecodeConfiguration(written.text);
    CHECK_TEXT(decoded.ok(), written.text.c_str());
    CHECK(decoded->version() > version);
    version = decoded->version();
    CHECK_EQUAL(written.allowed.size(), decoded->routes().size());
    for (const auto& [route, services] : written.allowed) {
      const routes::Route* found = decoded->Match("h.example", "/" + route + "/1");
      CHECK(found != nullptr);
      CHECK_EQUAL(services.size(), found->services.size());
      for (const auto& part : found->services) CHECK(services.contains(part.service));
      if (services.size() > 1) ++split;
    }
    if (!written.allowed.contains("extra")) ++without_extra;
  }
  CHECK(split > 0);
  CHECK(without_extra > 0 && without_extra < 200);
}
