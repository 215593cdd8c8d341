// Plans how one message reaches many nodes without saturating the sender's link.
//
// Sending a large change to all nodes of a zone at once divides the link among all copies: they all
// complete late, health checks and answers queue behind them, and copies that time out waste
// bandwidth. A sender therefore makes only as many copies as its link carries within a time budget,
// and the receivers forward to the other nodes: 28 nodes with links of 13 Mbit/s receive a change
// of 110 kB in three steps of 0.2 s each instead of one of 2 s.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "source/sidecar/feed_tree.h"

namespace runshelf::sidecar {

// Converts Mbit/s to bytes per second; zero stands for an unknown bandwidth, taken as unbounded.
double BytesPerSecond(uint32_t link_megabits);

// Transmission time of `bytes` on a link; zero when its bandwidth is unknown.
Duration TimeOnLink(size_t bytes, uint32_t link_megabits);

// How many copies of `bytes` a link transmits within `budget`, after the `bytes_in_flight`; at
// least two, so that each step reaches more nodes than the one before.
size_t CopiesWithin(Duration budget, uint32_t link_megabits, size_t bytes, size_t bytes_in_flight);

// Returns the first `copies` of the receivers, in the order given, with the others distributed
// among their `forward_to` lists in proportion to the bandwidth of their links.
std::vector<FeedReceiver> AssignForwarding(std::vector<FeedReceiver> receivers, size_t copies);

}  // namespace runshelf::sidecar
