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

// Message limits. They are part of the protocol and not configurable, because
// both sides of a link rely on equal values.
const (
	// ChunkThreshold is the size in bytes above which a message is split into
	// chunks on the bulk connection.
	ChunkThreshold = 64 << 10
	// MaxMessageBytes is the largest payload of a message, in bytes.
	MaxMessageBytes = 32 << 20

	chunkBytes = 32 << 10
	// envelopeBytes limits what the encoding of a message adds to its payload.
	envelopeBytes = 64 << 10
	maxFrameBytes = MaxMessageBytes + envelopeBytes
	// mediumBytes is the longest payload of a medium message; longer ones are large.
	mediumBytes        = 1 << 20
	mediumFrameBytes   = mediumBytes + envelopeBytes
	maxMediumTransfers = 16
	maxTransfers       = 64
	// largeBudgetBytes limits the encoded large messages sent at once on a link.
	largeBudgetBytes = 48 << 20
	// reassemblyBytes limits the memory for incomplete messages of a link.
	reassemblyBytes = largeBudgetBytes + maxMediumTransfers*mediumFrameBytes
	// readLimitBytes limits one WebSocket message. The margin above
	// ChunkThreshold is for the CBOR encoding around the data.
	readLimitBytes = ChunkThreshold + 1024
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
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = 2 * time.Second
	// bulkStallFactor times DownAfter is the time after which a link ends if the
	// bulk connection has unconfirmed frames and none of them was confirmed. It
	// exceeds DownAfter because a slow link may need seconds for one chunk.
	bulkStallFactor = 3
	// bufferBytes is the size of the read and write buffers of a connection.
	bufferBytes = 4 << 10
)

// Config configures a Mesh. Zero durations and sizes select the defaults.
type Config struct {
	Self   api.EntryRef // this process
	Domain string       // failure domain of this process
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval time.Duration
	// DownAfter is the time after which a link ends if the peer has sent no
	// heartbeat, or has echoed none of this process.
	DownAfter time.Duration
	// QueueBytes and QueueMessages limit the send queue of each link.
	QueueBytes    int
	QueueMessages int
	// TLS is used to dial peers; nil dials without TLS. The certificate of a peer
	// must contain the name of its entry process as a DNS name.
	TLS *tls.Config
	// Logger logs one line per link event; nil discards them.
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

// Handler receives the events of a Mesh. The calls for one peer are never
// concurrent and always in the order PeerUp, any number of PeerMessage,
// PeerDown. Calls for different peers may be concurrent. A handler may call
// Send, SetPeers and SetSummary. It must return quickly: while it blocks, no
// further message is read from the peer, and after Config.DownAfter the link
// ends.
type Handler interface {
	// PeerUp reports that the link to an incarnation of an entry process is up.
	PeerUp(ref api.EntryRef, domain string)
	// PeerMessage delivers one message. A heartbeat with a changed summary is
	// delivered as a message.Summary.
	PeerMessage(from api.EntryRef, m message.Message)
	// PeerDown reports that the link has ended. Messages sent shortly before may
	// be lost.
	PeerDown(ref api.EntryRef, cause error)
}

func tooLongError(size int) error {
	return fault.New(fault.Invalid, fmt.Sprintf("message has %d bytes", size),
		fmt.Sprintf("keep messages between entry processes under %d bytes", MaxMessageBytes))
}

func notConnectedError(to api.EntryRef) error {
	return fault.New(fault.Unavailable, "entry process "+to.String()+" is not connected", "wait until its link is up")
}
