// The published protocol over real connections.

#include "tools/server_standin/http_server.h"

#include <CppUTest/TestHarness.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <map>
#include <nlohmann/json.hpp>

using nlohmann::json;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {

struct Answer {
  int status = 0;
  std::string refused;
  json body;
};

}  // namespace

TEST_GROUP(ServerStandinHttp) {
  runshelf::SystemClock clock;
  std::unique_ptr<runshelf::server_standin::RequestExecutor> executor;
  std::unique_ptr<runshelf::server_standin::HttpServer> server;

  void setup() override {
    runshelf::server_standin::ServerConfig config;
    config.service = "feedread";
    config.server = "feedread-1";
    config.service_time = runshelf::Duration(0);
    executor = std::make_unique<runshelf::server_standin::RequestExecutor>(config, clock);
    auto started = runshelf::server_standin::HttpServer::Start("127.0.0.1:0", *executor);
    CHECK(started.ok());
    server = *std::move(started);
  }

  Answer Send(const std::string& method, const std::string& path, const std::string& body = "",
              const std::map<std::string, std::string>& headers = {}) {
    Poco::Net::HTTPClientSession session("127.0.0.1", server->port());
    HTTPRequest request(method, path, HTTPRequest::HTTP_1_1);
    for (const auto& [name, value] : headers) request.set(name, value);
    if (!body.empty()) request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body << std::flush;
    HTTPResponse response;
    std::string text;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
    return {response.getStatus(), response.get("Runshelf-Refused", ""),
            json::parse(text, nullptr, false)};
  }

  std::string GrantBody(const std::string& token) {
    const int64_t expiry = runshelf::ToMicroseconds(clock.Now()) + 60'000'000;
    return json{{"token", token}, {"expires_at_us", expiry}, {"slots", {{0, 9}}}}.dump();
  }
};

TEST(ServerStandinHttp, GrantThenRequestThenRecord) {
  LONGS_EQUAL(200, Send("PUT", "/grants", GrantBody("1.1.5")).status);
  LONGS_EQUAL(409, Send("PUT", "/grants", GrantBody("1.1.4")).status);
  LONGS_EQUAL(400, Send("PUT", "/grants", "{}").status);
  std::map<std::string, std::string> headers = {{"Runshelf-Request-Id", "r1"},
                                                {"Runshelf-Key", "k"},
                                                {"Runshelf-Slot", "9"},
                                                {"Runshelf-Fencing-Token", "1.1.5"}};
  const Answer answer = Send("POST", "/k?call=c", "body", headers);
  LONGS_EQUAL(200, answer.status);
  CHECK(answer.body["path"] == "/k?call=c");
  CHECK(answer.body["key"] == "k");
  CHECK(answer.body["request_id"] == "r1");
  CHECK(answer.body["token"] == "1.1.5");
  headers["Runshelf-Slot"] = "10";
  const Answer refused = Send("GET", "/k", "", headers);
  STRCMP_EQUAL("not-owner", refused.refused.c_str());
  CHECK(Send("DELETE", "/requests/r1").body["result"] == "executed");
}

TEST(ServerStandinHttp, MalformedHeadersAreRefused) {
  LONGS_EQUAL(400, Send("GET", "/k", "", {{"Runshelf-Slot", "x"}}).status);
  LONGS_EQUAL(400, Send("GET", "/k", "", {{"Runshelf-Slot", "1"}}).status);
  LONGS_EQUAL(400, Send("GET", "/k", "", {{"Runshelf-Deadline-Ms", "soon"}}).status);
}

TEST(ServerStandinHttp, LostAnswerIsExecuted) {
  Send("POST", "/faults", R"({"lose_answers":1})");
  CHECK_THROWS(Poco::Exception, Send("GET", "/lost", "", {{"Runshelf-Request-Id", "lost"}}));
  CHECK(Send("DELETE", "/requests/lost").body["result"] == "executed");
}

TEST(ServerStandinHttp, DrainAndHealth) {
  CHECK(Send("GET", "/health").body["state"] == "serving");
  LONGS_EQUAL(200, Send("POST", "/drain").status);
  CHECK(Send("GET", "/health").body["state"] == "draining");
  STRCMP_EQUAL("draining", Send("GET", "/k").refused.c_str());
}
