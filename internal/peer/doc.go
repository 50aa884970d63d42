// Package peer keeps the links between entry processes: a full mesh of
// WebSocket connections that carry CBOR messages.
//
// Each pair of processes shares two connections, urgent and bulk; together they
// are one link. The process with the smaller name dials, so that a pair never
// opens two links at once. A link is up when both connections have exchanged a
// hello, and it ends as a whole: any error on either connection, a full send
// queue, a missed heartbeat or a new incarnation closes both.
//
// Messages above ChunkThreshold are cut into chunks on the bulk connection.
// Chunks of several messages interleave, and the length and xxhash64 of each
// message are checked when it is whole. A link that is up delivers every
// message once; messages of one link may overtake each other.
//
// The package imports api, fault and message.
package peer
