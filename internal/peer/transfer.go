package peer

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// sending is a long message that is being sent in chunks.
type sending struct {
	queued   outgoing
	id       uint64
	frame    []byte
	offset   int
	checksum uint64
}

// bulkSender chooses the next frame of the bulk connection. Short messages and
// chunks take turns, and so do the chunks of the messages in progress. Large
// messages have a memory budget of their own, so that they do not keep medium
// ones waiting. It is owned by the bulk writer.
type bulkSender struct {
	queue  *sendQueue
	nextID uint64
	active []*sending
	turn   int // index in active of the next chunk
	medium int // medium messages in active
	large  int // bytes of large messages in active
	held   *sending
	buffer bytes.Buffer
	// chunkNext alternates between short messages and chunks.
	chunkNext bool
}

// next returns the next frame and whether it completes a message; nil if there
// is nothing to send. The frame is valid until the next call.
func (b *bulkSender) next() (frame []byte, whole bool, err error) {
	if err = b.activate(); err != nil {
		return nil, false, err
	}
	if b.chunkNext && len(b.active) > 0 {
		b.chunkNext = false
		return b.nextChunk()
	}
	if o, ok := b.queue.nextOf(&b.queue.short); ok {
		b.chunkNext = true
		return o.frame, true, nil
	}
	if len(b.active) > 0 {
		return b.nextChunk()
	}
	b.buffer = bytes.Buffer{} // an idle link keeps no chunk buffer
	return nil, false, nil
}

// activate starts waiting long messages as far as the receiver's bounds allow.
func (b *bulkSender) activate() error {
	for b.medium < maxMedium {
		o, ok := b.queue.nextOf(&b.queue.medium)
		if !ok {
			break
		}
		s, err := b.begin(o)
		if err != nil {
			return err
		}
		b.medium++
		b.active = append(b.active, s)
	}
	return b.activateLarge()
}

func (b *bulkSender) activateLarge() error {
	for len(b.active) < maxTransfers {
		if b.held == nil {
			o, ok := b.queue.nextOf(&b.queue.large)
			if !ok {
				return nil
			}
			s, err := b.begin(o)
			if err != nil {
				return err
			}
			b.held = s
		}
		if b.large+len(b.held.frame) > largeBudget {
			return nil
		}
		b.large += len(b.held.frame)
		b.active = append(b.active, b.held)
		b.held = nil
	}
	return nil
}

func (b *bulkSender) begin(o outgoing) (*sending, error) {
	frame, err := encodeMessage(o.long)
	if err != nil {
		return nil, err
	}
	limit := maxFrameBytes
	if o.size <= mediumBytes {
		limit = mediumFrameBytes
	}
	if len(frame) > limit {
		return nil, fmt.Errorf("message %T has %d bytes around its payload", o.long, len(frame)-o.size)
	}
	b.nextID++
	o.long = nil
	return &sending{queued: o, id: b.nextID, frame: frame, checksum: xxhash.Sum64(frame)}, nil
}

func (b *bulkSender) nextChunk() (frame []byte, whole bool, err error) {
	b.turn %= len(b.active)
	s := b.active[b.turn]
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
		b.turn++
	}
	return b.buffer.Bytes(), whole, nil
}

func (b *bulkSender) finish(s *sending) {
	b.active = append(b.active[:b.turn], b.active[b.turn+1:]...)
	if s.queued.size <= mediumBytes {
		b.medium--
	} else {
		b.large -= len(s.frame)
	}
	b.queue.release(s.queued)
}
