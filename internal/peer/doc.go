// Package peer connects the entry processes of a scheduler with a full mesh of
// WebSocket connections that carry CBOR messages. Package node calls a Mesh
// from any goroutine; its state is guarded by mutexes, and each link has its
// own reader, writer and heartbeat goroutines.
//
// A link to a peer consists of two connections, urgent and bulk. The process
// with the smaller name dials, so that a pair never opens two links at once.
// A link is up when both connections have exchanged a hello. Any error on
// either connection, a full send queue, a missed heartbeat or a new incarnation
// of the peer closes both.
//
// Messages above ChunkThreshold are split into chunks on the bulk connection.
// Chunks of several messages interleave; the length and xxhash64 of each
// message are checked after its last chunk. A link that is up delivers every
// message once. Messages of one link may be reordered.
package peer
