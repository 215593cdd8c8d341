// The clients against services that answer badly or not at all.
#include <CppUTest/TestHarness.h>
#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <atomic>
#include <string>
#include <thread>

#include "runshelf/infrastructure/http_machine_list.h"
#include "tests/infrastructure/platform_test_support.h"

using runshelf::Duration;
using runshelf::infrastructure::MakeEtcdKeyValueStore;
using runshelf::infrastructure::MakeHttpMachineList;
using runshelf::infrastructure::WatchEvent;
using runshelf::infrastructure::Write;
using runshelf::platform_test::CheckCode;
using runshelf::platform_test::kCallTimeout;

namespace {

constexpr Duration kShortTimeout = std::chrono::milliseconds(300);

enum class AfterReply { kClose, kStayOpen, kRepeatForever };

// Accepts connections one by one, reads what the client sends at once, and sends a fixed reply.
class ScriptedServer {
 public:
  ScriptedServer(std::string reply, AfterReply after)
      : socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
        reply_(std::move(reply)),
        after_(after),
        thread_([this] { Serve(); }) {}

  ~ScriptedServer() {
    stopping_.store(true);
    thread_.join();
  }

  std::string address() const { return socket_.address().toString(); }
  int connections() const { return connections_.load(); }

 private:
  void Serve() {
    while (!stopping_.load()) {
      if (!socket_.poll(Poco::Timespan(0, 20'000), Poco::Net::Socket::SELECT_READ)) continue;
      Poco::Net::StreamSocket connection = socket_.acceptConnection();
      ++connections_;
      try {
        Converse(connection);
      } catch (const Poco::Exception&) {
        // The client has gone.
      }
    }
  }

  void Converse(Poco::Net::StreamSocket& connection) {
    char buffer[4096];
    connection.receiveBytes(buffer, sizeof(buffer));
    if (!reply_.empty()) SendReply(connection);
    while (after_ != AfterReply::kClose && !stopping_.load()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      if (after_ == AfterReply::kRepeatForever) SendReply(connection);
      const bool readable = connection.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
      if (readable && connection.receiveBytes(buffer, sizeof(buffer)) == 0) return;
    }
  }

  void SendReply(Poco::Net::StreamSocket& connection) {
    connection.sendBytes(reply_.data(), static_cast<int>(reply_.size()), MSG_NOSIGNAL);
  }

  Poco::Net::ServerSocket socket_;
  std::string reply_;
  AfterReply after_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> connections_{0};
  std::thread thread_;
};

std::string Reply(const std::string& status_line, const std::string& body, size_t length) {
  return "HTTP/1.1 " + status_line + "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" +
         body;
}

std::string Reply(const std::string& status_line, const std::string& body) {
  return Reply(status_line, body, body.size());
}

absl::Status CommitAt(const std::string& address, Duration timeout = kCallTimeout) {
  const auto store = *MakeEtcdKeyValueStore(address, timeout);
  return store->Commit({}, {Write{"a", "1", 0}}).status();
}

absl::Status WatchAt(const std::string& address, Duration timeout = kCallTimeout) {
  const auto store = *MakeEtcdKeyValueStore(address, timeout);
  return store->Watch(
      "a", 1, [](int64_t, const std::vector<WatchEvent>&) {}, [] { return false; });
}

}  // namespace

TEST_GROUP(BrokenService){};

TEST(BrokenService, NobodyListeningIsUnavailable) {
  std::string address;
  {
    const Poco::Net::ServerSocket closed(Poco::Net::SocketAddress("127.0.0.1", 0));
    address = closed.address().toString();
  }
  CheckCode(absl::StatusCode::kUnavailable, CommitAt(address));
  CheckCode(absl::StatusCode::kUnavailable, WatchAt(address));
}

TEST(BrokenService, AWriteOnAConnectionThatIsClosedIsUnknownAndSentOnce) {
  const ScriptedServer server("", AfterReply::kClose);
  CheckCode(absl::StatusCode::kUnknown, CommitAt(server.address()));
  CHECK_EQUAL(1, server.connections());
}

TEST(BrokenService, SilenceAndTricklingAnswersEndWithTheTimeout) {
  const ScriptedServer silent("", AfterReply::kStayOpen);
  CheckCode(absl::StatusCode::kUnknown, CommitAt(silent.address(), kShortTimeout));
  CheckCode(absl::StatusCode::kUnavailable, WatchAt(silent.address(), kShortTimeout));
  CHECK_EQUAL(2, silent.connections());
  const ScriptedServer trickling("HTTP/1.1 200 OK\r\nX: y\r\n", AfterReply::kRepeatForever);
  CheckCode(absl::StatusCode::kUnknown, CommitAt(trickling.address(), kShortTimeout));
}

TEST(BrokenService, IncompleteOrMalformedAnswersToAWriteAreUnknown) {
  const std::string answer = R"({"header":{"revision":"2"},"succeeded":true})";
  const std::string deep = std::string(100'000, '[');
  const std::string replies[] = {
      Reply("200 OK", answer, answer.size() + 1),
      "HTTP/1.1 200 OK\r\nX A: x\r\nContent-Length: " + std::to_string(answer.size()) + "\r\n\r\n" +
          answer,
      Reply("200 OK", "{}"),
      Reply("200 OK", R"({"header":{"revision":"x"},"succeeded":true})"),
      Reply("200 OK", R"({"header":{"revision":"2"},"succeeded":1})"),
      Reply("200 OK", R"({"header":[],"succeeded":true})"),
      Reply("200 OK", R"({"succeeded":true})"),
      Reply("200 OK", "[1]"),
      Reply("200 OK", deep),
      "not HTTP\r\n\r\n",
      "HTTP/1.1 200 OK\r\n",
  };
  for (const std::string& reply : replies) {
    const ScriptedServer server(reply, AfterReply::kClose);
    CheckCode(absl::StatusCode::kUnknown, CommitAt(server.address()));
    CHECK_EQUAL(1, server.connections());
  }
  const ScriptedServer whole(Reply("200 OK", answer), AfterReply::kClose);
  CheckCode(absl::StatusCode::kOk, CommitAt(whole.address()));
}

TEST(BrokenService, AServerErrorThatMayComeTooLateIsUnknownForWritesOnly) {
  const std::string timed_out =
      Reply("503 Service Unavailable", R"({"code":14,"message":"etcdserver: request timed out"})");
  const ScriptedServer late(timed_out, AfterReply::kClose);
  CheckCode(absl::StatusCode::kUnknown, CommitAt(late.address()));
  const auto store = *MakeEtcdKeyValueStore(late.address(), kCallTimeout);
  CheckCode(absl::StatusCode::kUnavailable, store->Range("a").status());
  const ScriptedServer gateway(Reply("504 Gateway Timeout", ""), AfterReply::kClose);
  CheckCode(absl::StatusCode::kUnknown, CommitAt(gateway.address()));
}

TEST(BrokenService, MalformedEventsEndAWatch) {
  for (const char* line :
       {"{\"result\":{\"events\":[{\"kv\":{\"key\":\"!\",\"mod_revision\":\"2\"}}]}}\n",
        "{\"result\":{\"events\":[{\"type\":\"OTHER\",\"kv\":{\"mod_revision\":\"2\"}}]}}\n",
        "{\"result\":{\"events\":[{}]}}\n", "{\"result\":{\"events\":{}}}\n", "[]\n", "\n"}) {
    const ScriptedServer server(Reply("200 OK", line), AfterReply::kStayOpen);
    CheckCode(absl::StatusCode::kUnavailable, WatchAt(server.address()));
  }
}

TEST(BrokenService, AMalformedMachineListIsUnavailable) {
  for (const char* body :
       {"", "{}", "[]", R"({"version":1})", R"({"version":"1","machines":[]})",
        R"({"version":1,"machines":[{"node":"a","address":"x","zone":"z","state":"gone"}]})",
        R"({"version":1,"machines":[{"node":"a","zone":"z","state":"live"}]})"}) {
    const ScriptedServer server(Reply("200 OK", body), AfterReply::kClose);
    const auto list = *MakeHttpMachineList(server.address(), kCallTimeout);
    CheckCode(absl::StatusCode::kUnavailable, list->Read().status());
  }
}
