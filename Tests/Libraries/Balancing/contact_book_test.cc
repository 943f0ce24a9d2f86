#include "Libraries/Balancing/contact_book.h"

#include <doctest/doctest.h>

#include <set>

#include "Tests/Libraries/Balancing/balancing_fixture.h"

namespace dogwood {
namespace {

using namespace std::chrono_literals;

constexpr int kHosts = 30;
constexpr int kRounds = 20;

std::string Nearby(int host) { return "10.0.0." + std::to_string(host); }
std::string Far(int host) { return "10.1.0." + std::to_string(host); }

ContactBook MakeBook() {
  ContactBook book(kPalermo);
  for (int host = 2; host < kHosts; ++host) {
    book.Add(Nearby(host), kPalermo);
    book.Add(Far(host), kCatania);
  }
  return book;
}

// Guards against starts whose greetings grow with the square of the fleet and
// cross zones.
TEST_CASE("Only a steward greets another zone, one host at a time") {
  ContactBook book = MakeBook();
  PeerTable peers("10.0.0.1", kPalermo, 20, kStart);
  std::set<std::string> far;
  for (int round = 0; round < kRounds; ++round) {
    std::size_t far_in_round = 0;
    for (const std::string& ip : book.TakeDue(peers, kStart)) {
      if (!ip.starts_with("10.1.")) continue;
      ++far_in_round;
      far.insert(ip);
    }
    CHECK(far_in_round == 1);
  }
  // A host that does not answer is not the only one that is tried.
  CHECK(far.size() == kRounds);
}

TEST_CASE("A host that is no steward greets no other zone") {
  ContactBook book = MakeBook();
  PeerTable peers("10.0.0.1", kPalermo, 10, kStart);
  PeerRecord large{"10.0.0.200", kPalermo, Incarnation(1), 0ms, false, 50};
  peers.Merge(large, kStart);
  for (const std::string& ip : book.TakeDue(peers, kStart))
    CHECK(ip.starts_with("10.0."));
}

TEST_CASE("Contacts that were heard, and silent ones, are left alone") {
  ContactBook book = MakeBook();
  PeerTable peers("10.0.0.1", kPalermo, 20, kStart);
  peers.Merge({Nearby(2), kPalermo, Incarnation(1), 0ms, false, 20}, kStart);
  peers.Merge({Far(2), kCatania, Incarnation(1), 0ms, false, 20}, kStart);
  std::size_t greetings = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (const std::string& ip : book.TakeDue(peers, kStart)) {
      CHECK(ip != Nearby(2));
      CHECK(ip.starts_with("10.0."));
      ++greetings;
    }
  }
  CHECK(greetings == (kHosts - 3) * ContactBook::kMostGreetings);
}

// Contacts of the settings have no zone; they may be the only ones.
TEST_CASE("A contact of unknown zone is greeted") {
  ContactBook book(kPalermo);
  book.Add("10.9.0.1", std::nullopt);
  PeerTable peers("10.0.0.1", kPalermo, 20, kStart);
  CHECK(book.TakeDue(peers, kStart) == std::vector<std::string>{"10.9.0.1"});
}

}  // namespace
}  // namespace dogwood
