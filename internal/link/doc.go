// Package link connects entry processes over WebSocket connections that carry CBOR
// messages. Either side of a link may send requests. Each request gets exactly one
// reply, and requests and replies may arrive out of order. Package entry is the only
// caller.
//
// Each side sends a heartbeat every Config.HeartbeatInterval and closes the link if it
// receives nothing for Config.DownAfter. Every Link has one reader and one writer
// goroutine; its remaining state is guarded by a mutex, so its methods may be called
// from any goroutine.
//
// Of the internal packages, link imports only fault.
package link
