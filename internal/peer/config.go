package peer

import (
	"crypto/tls"
	"fmt"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"go.uber.org/zap"
)

// Bounds on messages. They are part of the protocol: both sides of a link rely
// on equal values, so they are no settings.
const (
	// ChunkThreshold is the size in bytes above which a message is sent in
	// chunks on the bulk connection.
	ChunkThreshold = 64 << 10
	// MaxMessageBytes is the largest payload of a message in bytes.
	MaxMessageBytes = 32 << 20

	chunkBytes = 32 << 10
	// envelopeBytes bounds what a message adds to its payload.
	envelopeBytes    = 64 << 10
	maxFrameBytes    = MaxMessageBytes + envelopeBytes
	mediumBytes      = 1 << 20
	mediumFrameBytes = mediumBytes + envelopeBytes
	maxMedium        = 16
	maxTransfers     = 64
	largeBudget      = 48 << 20
	// reassemblyBytes bounds the memory for incomplete messages of a link.
	reassemblyBytes = largeBudget + maxMedium*mediumFrameBytes
	// readLimit bounds one WebSocket message; it leaves room for the CBOR
	// around the data of a short message.
	readLimit = ChunkThreshold + 1024
)

// Defaults of Config.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultDownAfter         = 3 * time.Second
	DefaultQueueBytes        = 64 << 20
	DefaultQueueMessages     = 16384
)

const (
	handshakeTimeout = 3 * time.Second
	minBackOff       = 100 * time.Millisecond
	maxBackOff       = 2 * time.Second
	// bulkStallFactor times DownAfter is how long the bulk connection may have
	// unconfirmed frames without any new one being confirmed. It is longer than
	// DownAfter because a slow link may need seconds for one chunk.
	bulkStallFactor = 3
	// bufferBytes is the size of read and write buffers of a connection.
	bufferBytes = 4 << 10
)

// Config describes the own process. Zero durations and sizes take the defaults.
type Config struct {
	Self   api.EntryRef
	Domain string // own failure domain
	// HeartbeatInterval is the pause between two heartbeats.
	HeartbeatInterval time.Duration
	// DownAfter is how long a peer stays up without a heartbeat received, or
	// without one of the own heartbeats being echoed.
	DownAfter time.Duration
	// QueueBytes and QueueMessages bound the send queue of each link.
	QueueBytes    int
	QueueMessages int
	// TLS is used to dial peers; nil dials without TLS. A peer's certificate must
	// carry the name of its entry process as a DNS name.
	TLS *tls.Config
	// Logger receives one line per link event; nil discards them.
	Logger *zap.Logger
}

func (c Config) withDefaults() Config {
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if c.DownAfter == 0 {
		c.DownAfter = DefaultDownAfter
	}
	if c.QueueBytes == 0 {
		c.QueueBytes = DefaultQueueBytes
	}
	if c.QueueMessages == 0 {
		c.QueueMessages = DefaultQueueMessages
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return c
}

// Handler takes the events of the mesh. For one peer the calls are strictly
// ordered and never concurrent: PeerUp, any number of PeerMessage, PeerDown.
// Calls for different peers are concurrent. A handler may call Send, SetPeers
// and SetSummary. It must return quickly: while it blocks, nothing more is read
// from the peer, and after Config.DownAfter the link ends.
type Handler interface {
	// PeerUp reports a working link to an incarnation of an entry process.
	PeerUp(ref api.EntryRef, domain string)
	// PeerMessage carries one message. A heartbeat with a changed summary
	// arrives as a message.Summary.
	PeerMessage(from api.EntryRef, m message.Message)
	// PeerDown reports the end of the link. Messages that were sent shortly
	// before may not have arrived.
	PeerDown(ref api.EntryRef, cause error)
}

func tooLong(size int) error {
	return fault.New(fault.Invalid, fmt.Sprintf("message has %d bytes", size),
		fmt.Sprintf("keep messages between entry processes under %d bytes", MaxMessageBytes))
}

func notUp(to api.EntryRef) error {
	return fault.New(fault.Unavailable, "entry process "+to.String()+" is not connected", "wait until its link is up")
}
