package peer

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// outboundTransfer is a message that is being sent in chunks.
type outboundTransfer struct {
	queued   outgoing
	id       uint64
	frame    []byte
	offset   int
	checksum uint64
}

// bulkSender selects the next frame for the bulk connection. Short messages and
// chunks alternate, and the active transfers send their chunks round-robin. Large
// messages have a separate memory budget, so that they do not delay medium ones.
// It is owned by the goroutine of writeBulk.
type bulkSender struct {
	queue        *sendQueue
	nextID       uint64
	active       []*outboundTransfer
	nextActive   int               // index in active of the transfer whose chunk is next
	mediumCount  int               // number of medium messages in active
	largeBytes   int               // encoded size of the large messages in active
	pendingLarge *outboundTransfer // encoded, but over the budget for now
	buffer       bytes.Buffer
	// chunkNext is set after a short message, so that a chunk follows it.
	chunkNext bool
}

// next returns the next frame and whether it completes a message, or nil if there
// is nothing to send. The frame is valid until the next call.
func (b *bulkSender) next() (frame []byte, whole bool, err error) {
	if err = b.activate(); err != nil {
		return nil, false, err
	}
	if b.chunkNext && len(b.active) > 0 {
		b.chunkNext = false
		return b.nextChunk()
	}
	if o, ok := b.queue.pop(&b.queue.short); ok {
		b.chunkNext = true
		return o.frame, true, nil
	}
	if len(b.active) > 0 {
		return b.nextChunk()
	}
	b.buffer = bytes.Buffer{} // free the chunk buffer of an idle link
	return nil, false, nil
}

// activate starts queued long messages as far as the limits of the receiver allow.
func (b *bulkSender) activate() error {
	for b.mediumCount < maxMediumTransfers {
		o, ok := b.queue.pop(&b.queue.medium)
		if !ok {
			break
		}
		s, err := b.begin(o)
		if err != nil {
			return err
		}
		b.mediumCount++
		b.active = append(b.active, s)
	}
	return b.activateLarge()
}

// activateLarge starts large messages while they fit into largeBudgetBytes.
func (b *bulkSender) activateLarge() error {
	for len(b.active) < maxTransfers {
		if b.pendingLarge == nil {
			o, ok := b.queue.pop(&b.queue.large)
			if !ok {
				return nil
			}
			s, err := b.begin(o)
			if err != nil {
				return err
			}
			b.pendingLarge = s
		}
		if b.largeBytes+len(b.pendingLarge.frame) > largeBudgetBytes {
			return nil
		}
		b.largeBytes += len(b.pendingLarge.frame)
		b.active = append(b.active, b.pendingLarge)
		b.pendingLarge = nil
	}
	return nil
}

// begin encodes a long message and returns its transfer.
func (b *bulkSender) begin(o outgoing) (*outboundTransfer, error) {
	frame, err := encodeMessage(o.long)
	if err != nil {
		return nil, err
	}
	limit := maxFrameBytes
	if o.size <= mediumBytes {
		limit = mediumFrameBytes
	}
	if len(frame) > limit {
		return nil, fmt.Errorf("message %T adds %d bytes to its payload", o.long, len(frame)-o.size)
	}
	b.nextID++
	o.long = nil
	return &outboundTransfer{queued: o, id: b.nextID, frame: frame, checksum: xxhash.Sum64(frame)}, nil
}

func (b *bulkSender) nextChunk() (frame []byte, whole bool, err error) {
	b.nextActive %= len(b.active)
	s := b.active[b.nextActive]
	end := min(s.offset+chunkBytes, len(s.frame))
	part := chunk{
		ID:       s.id,
		Offset:   uint64(s.offset),
		Total:    uint64(len(s.frame)),
		Checksum: s.checksum,
		Data:     s.frame[s.offset:end],
	}
	b.buffer.Reset()
	b.buffer.WriteByte(byte(frameChunk))
	if err := encoder.MarshalToBuffer(part, &b.buffer); err != nil {
		return nil, false, err
	}
	s.offset = end
	if whole = end == len(s.frame); whole {
		b.finish(s)
	} else {
		b.nextActive++
	}
	return b.buffer.Bytes(), whole, nil
}

// finish removes s, the transfer at nextActive, from active and the queue.
func (b *bulkSender) finish(s *outboundTransfer) {
	b.active = append(b.active[:b.nextActive], b.active[b.nextActive+1:]...)
	if s.queued.size <= mediumBytes {
		b.mediumCount--
	} else {
		b.largeBytes -= len(s.frame)
	}
	b.queue.release(s.queued)
}
