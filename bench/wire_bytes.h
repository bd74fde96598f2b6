// What TCP has carried between the processes of this machine, by the port of the serving side.
#ifndef CATKINFORD_BENCH_WIRE_BYTES_H_
#define CATKINFORD_BENCH_WIRE_BYTES_H_

#include <cstdint>
#include <map>

namespace catkinford {

// Bytes both ways over the connections that are open now, by their local port: HTTP heads and
// bodies, without the heads of TCP and IP. The kernel is asked, so that other processes count too.
// A connection that has been closed counts no more: two readings around a time at rest tell the
// bytes of that time, since connections are kept open.
std::map<uint16_t, double> WireBytesByPort();

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_WIRE_BYTES_H_
