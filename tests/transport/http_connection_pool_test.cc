#include "runshelf/transport/http_connection_pool.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <string>
#include <thread>

#include "source/transport/closing_notice.h"
#include "tests/transport/scripted_peer.h"

namespace runshelf::transport {
namespace {

constexpr Duration kAmple = std::chrono::seconds(20);
constexpr Duration kShort = std::chrono::milliseconds(150);

std::string Answer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

HttpRequest Post(const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/send?to=desk";
  request.headers.Add("Runshelf-Class", "desk");
  request.body = body;
  return request;
}

}  // namespace

TEST_GROUP(HttpConnectionPool) {
  SystemClock clock;
  HttpConnectionPool pool{clock, HttpConnectionPoolOptions{}};

  HttpResult Call(const ScriptedPeer& peer, const HttpRequest& request, Duration wait = kAmple) {
    return pool.Call(peer.address(), request, AnswerMatch::InOrder(), clock.Now() + wait);
  }

  HttpResult CallMatched(const ScriptedPeer& peer, const AnswerMatch& match) {
    return pool.Call(peer.address(), Post("x"), match, clock.Now() + kAmple);
  }

  // Calls a peer that answers with `bytes` and then closes.
  HttpOutcome OutcomeOf(const std::string& bytes) {
    ScriptedPeer peer([&](auto& socket, const auto&, int, int) {
      SendAll(socket, bytes);
      return false;
    });
    return Call(peer, Post("x")).outcome;
  }
};

TEST(HttpConnectionPool, PassesRequestAndAnswerUnchanged) {
  std::string seen;
  ScriptedPeer peer([&](auto& socket, const std::string& request, int, int) {
    seen = request;
    SendAll(socket, "HTTP/1.1 201 Created\r\nX-A: 1\r\nX-A: 2\r\nContent-Length: 3\r\n\r\nabc");
    return true;
  });
  const HttpResult result = Call(peer, Post("hello"));
  CHECK(result.outcome == HttpOutcome::kAnswered);
  CHECK_EQUAL(201, result.response.status);
  STRCMP_EQUAL("abc", result.response.body.c_str());
  CHECK_EQUAL(2U, result.response.headers.All().size());
  CHECK(seen.starts_with("POST /send?to=desk HTTP/1.1\r\n"));
  CHECK(seen.ends_with("\r\n\r\nhello"));
}

// Guards against answers whose status is none, or whose head two readers take for different ones.
TEST(HttpConnectionPool, AMalformedHeadIsNoAnswer) {
  const std::string rest = "Content-Length: 2\r\n\r\nab";
  CHECK(OutcomeOf("HTTP/1.1 200 OK\r\n" + rest) == HttpOutcome::kAnswered);
  for (const char* line : {"HTTP/1.1 000 OK", "HTTP/1.1 0 OK", "HTTP/1.1 099 OK", "HTTP/1.1 20 OK",
                           "HTTP/1.1 +20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 999 OK"}) {
    CHECK_TEXT(OutcomeOf(std::string(line) + "\r\n" + rest) == HttpOutcome::kConnectionLost, line);
  }
  for (const char* field :
       {"X-A : x", "X A: x", "X\x01-A: x", " X-A: x", "X-A", ": x", "X-A: a\x01", "X-A: a\r\n b"}) {
    const std::string head = "HTTP/1.1 200 OK\r\n" + std::string(field) + "\r\n" + rest;
    CHECK_TEXT(OutcomeOf(head) == HttpOutcome::kConnectionLost, field);
  }
}

TEST(HttpConnectionPool, KeepsConnectionsAlive) {
  ScriptedPeer peer([](auto& socket, const auto&, int, int) {
    SendAll(socket, Answer("ok"));
    return true;
  });
  for (int i = 0; i < 5; ++i) {
    CHECK(Call(peer, Post("x")).outcome == HttpOutcome::kAnswered);
  }
  CHECK_EQUAL(1, peer.connections());
  CHECK_EQUAL(5, peer.requests());
}

TEST(HttpConnectionPool, NeverSendsAgainWhenKeptConnectionIsCutAfterTheRequest) {
  ScriptedPeer peer([](auto& socket, const auto&, int, int request_number) {
    if (request_number == 2) {
      return false;  // The request arrived whole and may run; the answer is lost.
    }
    SendAll(socket, Answer("ok"));
    return true;
  });
  CHECK(Call(peer, Post("first")).outcome == HttpOutcome::kAnswered);
  CHECK(Call(peer, Post("second")).outcome == HttpOutcome::kConnectionLost);
  CHECK_EQUAL(2, peer.requests());
  CHECK_EQUAL(1, peer.connections());
}

TEST(HttpConnectionPool, SendsAgainWhenThePeerSaysThatItReadNothing) {
  ScriptedPeer peer([](auto& socket, const auto&, int, int request_number) {
    if (request_number == 2) {
      SendAll(socket, ClosingNotice());
      return false;
    }
    SendAll(socket, Answer("ok"));
    return true;
  });
  CHECK(Call(peer, Post("first")).outcome == HttpOutcome::kAnswered);
  CHECK(Call(peer, Post("second")).outcome == HttpOutcome::kAnswered);
  CHECK_EQUAL(3, peer.requests());
  CHECK_EQUAL(2, peer.connections());
}

TEST(HttpConnectionPool, NeverSendsAgainWhenPeerResetsEveryKeptConnection) {
  // The peer closes right after each answer, at the very moment the next request may be under way.
  ScriptedPeer peer([](auto& socket, const auto&, int, int) {
    SendAll(socket, Answer("ok"));
    return false;
  });
  int answered = 0;
  constexpr int kCalls = 200;
  for (int i = 0; i < kCalls; ++i) {
    const HttpOutcome outcome = Call(peer, Post("x")).outcome;
    answered += outcome == HttpOutcome::kAnswered ? 1 : 0;
    CHECK(outcome == HttpOutcome::kAnswered || outcome == HttpOutcome::kConnectionLost);
  }
  CHECK_EQUAL(answered, peer.requests());
}

TEST(HttpConnectionPool, ConnectionRefusedIsCertainlyNotSent) {
  std::string address;
  {
    ScriptedPeer peer([](auto&, const auto&, int, int) { return false; });
    address = peer.address();
  }
  const HttpResult refused =
      pool.Call(address, Post("x"), AnswerMatch::InOrder(), clock.Now() + kAmple);
  CHECK(refused.outcome == HttpOutcome::kConnectFailed);
  CHECK(refused.refused);
  CHECK(
      pool.Call("localhost:80", Post("x"), AnswerMatch::InOrder(), clock.Now() + kAmple).outcome ==
      HttpOutcome::kConnectFailed);
}

TEST(HttpConnectionPool, CutAnswersAreNeverDelivered) {
  CHECK(OutcomeOf("") == HttpOutcome::kConnectionLost);
  CHECK(OutcomeOf("HTTP/1.1 200 OK\r\nContent-Le") == HttpOutcome::kConnectionLost);
  CHECK(OutcomeOf("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-A: b") ==
        HttpOutcome::kConnectionLost);
  CHECK(OutcomeOf("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcd") ==
        HttpOutcome::kConnectionLost);
  CHECK(OutcomeOf("HTTP/1.1 200 OK\r\n\r\nabcd") == HttpOutcome::kConnectionLost);
  CHECK(OutcomeOf("garbage\r\n\r\n") == HttpOutcome::kConnectionLost);
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  CHECK(OutcomeOf(chunked + "3\r\nabc\r\n") == HttpOutcome::kConnectionLost);
  CHECK(OutcomeOf(chunked + "3\r\nabc\r\n0\r\n") == HttpOutcome::kConnectionLost);
  CHECK(OutcomeOf(chunked + "7\r\n0\r\n\r\n") == HttpOutcome::kConnectionLost);
  CHECK(OutcomeOf(chunked + "zz\r\nabc\r\n0\r\n\r\n") == HttpOutcome::kConnectionLost);
  CHECK(OutcomeOf(chunked + "3\r\nabc\r\n0\r\n\r\n") == HttpOutcome::kAnswered);
}

TEST(HttpConnectionPool, SlowPeerIsGivenUpAtTheDeadlineAndItsConnectionDropped) {
  std::atomic<int> dribbled{0};
  ScriptedPeer peer([&](auto& socket, const std::string&, int connection, int) {
    if (connection > 1) {
      SendAll(socket, Answer("right"));
      return true;
    }
    SendAll(socket, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
    for (int i = 0; i < 100'000; ++i) {
      SendAll(socket, "w");
      ++dribbled;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
  });
  CHECK(Call(peer, Post("first"), kShort).outcome == HttpOutcome::kTimedOut);
  CHECK(dribbled < 100'000);
  const HttpResult second = Call(peer, Post("second"));
  CHECK(second.outcome == HttpOutcome::kAnswered);
  STRCMP_EQUAL("right", second.response.body.c_str());
}

TEST(HttpConnectionPool, LateAnswerNeverReachesTheNextCaller) {
  ScriptedPeer peer([&](auto& socket, const std::string& request, int, int request_number) {
    if (request_number == 1) {
      std::this_thread::sleep_for(2 * kShort);
    }
    SendAll(socket, Answer(request.substr(request.find("\r\n\r\n") + 4)));
    return true;
  });
  CHECK(Call(peer, Post("slow"), kShort).outcome == HttpOutcome::kTimedOut);
  for (int i = 0; i < 20; ++i) {
    const std::string body = std::to_string(i);
    const HttpResult result = Call(peer, Post(body));
    STRCMP_EQUAL(body.c_str(), result.response.body.c_str());
  }
}

TEST(HttpConnectionPool, UnaskedBytesOnAnIdleConnectionAreNotTakenForAnAnswer) {
  ScriptedPeer peer([&](auto& socket, const std::string& request, int, int) {
    const std::string body = request.substr(request.find("\r\n\r\n") + 4);
    SendAll(socket, Answer(body) + Answer("unasked"));
    return true;
  });
  for (int i = 0; i < 20; ++i) {
    const std::string body = std::to_string(i);
    STRCMP_EQUAL(body.c_str(), Call(peer, Post(body)).response.body.c_str());
  }
}

// Guards against the beginning of a second answer, made whole by the next one.
TEST(HttpConnectionPool, AConnectionWithUnreadBytesCarriesNoRequest) {
  std::atomic<bool> sent{false};
  ScriptedPeer peer([&](auto& socket, const std::string&, int connection, int) {
    SendAll(socket, Answer("ok"));
    if (connection == 1) {
      std::this_thread::sleep_for(kShort);
      SendAll(socket, "HTTP/1.1 200 OK\r\nContent-Le");
      sent = true;
    }
    return true;
  });
  CHECK(Call(peer, Post("first")).outcome == HttpOutcome::kAnswered);
  while (!sent) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  const HttpResult second = Call(peer, Post("second"));
  CHECK(second.outcome == HttpOutcome::kAnswered);
  STRCMP_EQUAL("ok", second.response.body.c_str());
  CHECK_EQUAL(2, peer.connections());
}

TEST(HttpConnectionPool, RequestsOfOtherLanesTakeOtherConnections) {
  ScriptedPeer peer([](auto& socket, const auto&, int, int) {
    SendAll(socket, Answer("ok"));
    return true;
  });
  for (int round = 0; round < 2; ++round) {
    CHECK(CallMatched(peer, AnswerMatch::Lane("a")).outcome == HttpOutcome::kAnswered);
    CHECK(CallMatched(peer, AnswerMatch::Lane("b")).outcome == HttpOutcome::kAnswered);
    CHECK(CallMatched(peer, AnswerMatch::InOrder()).outcome == HttpOutcome::kAnswered);
  }
  CHECK_EQUAL(3, peer.connections());
}

TEST(HttpConnectionPool, AnOwnConnectionCarriesNoOtherRequest) {
  ScriptedPeer peer([](auto& socket, const auto&, int, int) {
    SendAll(socket, Answer("ok"));
    return true;
  });
  for (int round = 0; round < 3; ++round) {
    CHECK(CallMatched(peer, AnswerMatch::OwnConnection()).outcome == HttpOutcome::kAnswered);
  }
  CHECK_EQUAL(3, peer.connections());
}

TEST(HttpConnectionPool, AnAnswerWithoutARequiredHeaderBelongsToAnotherRequest) {
  ScriptedPeer peer([](auto& socket, const auto&, int, int) {
    SendAll(socket, Answer("ok"));
    return true;
  });
  const auto required = AnswerMatch::EchoedHeader("Id", "1");
  const auto optional = AnswerMatch::OptionallyEchoedHeader("Id", "1");
  CHECK(CallMatched(peer, required).outcome == HttpOutcome::kConnectionLost);
  CHECK(CallMatched(peer, optional).outcome == HttpOutcome::kAnswered);
}

// Guards against a refusal that comes twice and is taken for the answer to the same request, sent
// again.
TEST(HttpConnectionPool, AValueThatIsSentAgainTakesAnotherConnection) {
  ScriptedPeer peer([](auto& socket, const auto&, int, int request_number) {
    const std::string id = request_number == 1 ? "1" : "2";
    SendAll(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n");
    return true;
  });
  for (const char* id : {"1", "1", "2"}) {
    const HttpResult result = CallMatched(peer, AnswerMatch::EchoedHeader("Id", id));
    CHECK(result.outcome == HttpOutcome::kAnswered);
  }
  CHECK_EQUAL(2, peer.connections());
  CHECK_EQUAL(3, peer.requests());
}

// Guards against an answer that breaks off in its head, with the next one taken for the rest of it.
TEST(HttpConnectionPool, AnAnswerThatGoesOnAsAnotherIsNoAnswer) {
  for (const std::string cut : {"HTTP/1.1 201 Crea", "HTTP/1.1 201 Created\r\nName: val",
                                "HTTP/1.1 201 Created\r\nName: ", "HTTP/1.1 201 Created\r\nNa",
                                "HTTP/1.1 201 Created\r\n", "HTTP/1.1 201"}) {
    CHECK_TEXT(OutcomeOf(cut + Answer("ok")) == HttpOutcome::kConnectionLost, cut.c_str());
  }
}

// Guards against an interim answer that is taken for the final one.
TEST(HttpConnectionPool, AnInterimAnswerIsNotTheAnswer) {
  for (const char* interim :
       {"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\nabc"}) {
    CHECK_TEXT(OutcomeOf(interim) == HttpOutcome::kConnectionLost, interim);
    CHECK_TEXT(OutcomeOf(interim + Answer("ok")) == HttpOutcome::kConnectionLost, interim);
  }
  CHECK(OutcomeOf("HTTP/1.1 100 Continue\r\n\r\n" + Answer("ok")) == HttpOutcome::kAnswered);
}

TEST(HttpConnectionPool, OversizedAnswerIsRefused) {
  HttpConnectionPoolOptions options;
  options.max_response_bytes = 10;
  HttpConnectionPool small(clock, options);
  ScriptedPeer peer([](auto& socket, const auto&, int, int) {
    SendAll(socket, Answer("more than ten bytes"));
    return true;
  });
  const HttpResult result =
      small.Call(peer.address(), Post("x"), AnswerMatch::InOrder(), clock.Now() + kAmple);
  CHECK(result.outcome == HttpOutcome::kConnectionLost);
}

TEST(HttpConnectionPool, GivesUpWhenTheWatchedCallerGoesAway) {
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  Poco::Net::StreamSocket caller(listener.address());
  Poco::Net::StreamSocket accepted = listener.acceptConnection();
  ScriptedPeer peer([&](auto&, const auto&, int, int) {
    caller.close();
    std::this_thread::sleep_for(kShort);
    return true;  // Never answers.
  });
  const PeerWatch watch(accepted.impl()->sockfd());
  CHECK_FALSE(watch.Closed());
  const HttpResult result =
      pool.Call(peer.address(), Post("x"), AnswerMatch::InOrder(), clock.Now() + kAmple, watch);
  CHECK(result.outcome == HttpOutcome::kCancelled);
  CHECK(watch.Closed());
}

TEST(HttpConnectionPool, HeadHasNoBodyAndKeepsItsLength) {
  ScriptedPeer peer([](auto& socket, const auto&, int, int) {
    SendAll(socket, "HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n");
    return true;
  });
  HttpRequest request;
  request.method = "HEAD";
  request.target = "/";
  for (int i = 0; i < 2; ++i) {
    const HttpResult result = Call(peer, request);
    CHECK(result.outcome == HttpOutcome::kAnswered);
    CHECK_EQUAL(77U, result.response.announced_length.value_or(0));
  }
  CHECK_EQUAL(1, peer.connections());
}

}  // namespace runshelf::transport
