#include "source/routes/routing_configuration.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf::routes;

namespace {

Route MakeRoute(const char* name, const char* host, const char* prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  route.services.push_back({"s", 1});
  return route;
}

}  // namespace

TEST_GROUP(RoutingConfiguration) {
  RoutingConfiguration configuration{
      7,
      {MakeRoute("short", "a.example", "/x/"), MakeRoute("long", "a.example", "/x/y/"),
       MakeRoute("other", "b.example", "/x/")},
      {},
      {}};

  const char* Matched(const char* host, const char* path) {
    const Route* route = configuration.Match(host, path);
    return route == nullptr ? "none" : route->name.c_str();
  }
};

TEST(RoutingConfiguration, TheLongestPrefixOfTheHostWins) {
  STRCMP_EQUAL("short", Matched("a.example", "/x/1"));
  STRCMP_EQUAL("long", Matched("a.example", "/x/y/1"));
  STRCMP_EQUAL("other", Matched("b.example", "/x/y/1"));
}

TEST(RoutingConfiguration, HostsAreComparedWithoutPortAndCase) {
  STRCMP_EQUAL("short", Matched("A.Example:8080", "/x/1"));
}

TEST(RoutingConfiguration, WithoutARouteThereIsNoMatch) {
  STRCMP_EQUAL("none", Matched("c.example", "/x/1"));
  STRCMP_EQUAL("none", Matched("a.example", "/x"));
  STRCMP_EQUAL("none", Matched("a.example", "/z/x/"));
}
