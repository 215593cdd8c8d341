// Plans how one message reaches many nodes without filling the sender's link.
//
// A node that sends a large change to each of its neighbours at once shares its link among all
// copies: none is complete before all are, health checks and answers wait behind them, and what
// runs out of its time was sent for nothing. So a sender makes no more copies than its link carries
// within a bounded time, and asks the receivers of these to serve the others: 28 neighbours behind
// links of 13 Mbit/s have a change of 110 kB in three steps of 0.2 s each in place of one of 2 s.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "source/sidecar/feed_tree.h"

namespace runshelf::sidecar {

// Bytes a second; zero: not known, as good as unbounded.
double BytesPerSecond(uint32_t link_megabits);

// How long a link takes to send this many bytes.
Duration TimeOnLink(size_t bytes, uint32_t link_megabits);

// How many copies a link sends within `budget` while `bytes_in_flight` are still to be sent; at
// least two, so that each step reaches more nodes than the one before.
size_t CopiesWithin(Duration budget, uint32_t link_megabits, size_t bytes, size_t bytes_in_flight);

// Sends to the first `copies` of the receivers, in the order given, which pass the message on to
// the others: each gets a share by the width of its link.
std::vector<FeedReceiver> AssignForwarding(std::vector<FeedReceiver> receivers, size_t copies);

}  // namespace runshelf::sidecar
