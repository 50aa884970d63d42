package peer

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// inboundTransfer is a chunked message that is not yet complete.
type inboundTransfer struct {
	data     []byte
	total    uint64
	checksum uint64
}

// reassembler joins the chunks of one bulk connection. The chunks of a message
// arrive in order, because the connection preserves order; any other offset is
// an error of the sender.
type reassembler struct {
	transfers map[uint64]*inboundTransfer
	reserved  uint64 // sum of the total lengths in transfers, in bytes
}

// initialBufferBytes limits the memory allocated for a total length whose data
// has not arrived.
const initialBufferBytes = 256 << 10

// add adds one chunk. It returns the frame of the message if c completes it, and
// nil otherwise.
func (r *reassembler) add(c chunk) ([]byte, error) {
	if len(c.Data) == 0 {
		return nil, fmt.Errorf("chunk of transfer %d is empty", c.ID)
	}
	t, ok := r.transfers[c.ID]
	if !ok {
		var err error
		if t, err = r.begin(c); err != nil {
			return nil, err
		}
	}
	if err := t.extend(c); err != nil {
		return nil, err
	}
	if uint64(len(t.data)) < t.total {
		return nil, nil
	}
	delete(r.transfers, c.ID)
	r.reserved -= t.total
	if got := xxhash.Sum64(t.data); got != t.checksum {
		return nil, fmt.Errorf("transfer %d has checksum %x instead of %x", c.ID, got, t.checksum)
	}
	return t.data, nil
}

// begin adds a transfer for the first chunk of a message.
func (r *reassembler) begin(c chunk) (*inboundTransfer, error) {
	switch {
	case c.Offset != 0:
		return nil, fmt.Errorf("transfer %d begins at offset %d", c.ID, c.Offset)
	case c.Total > maxFrameBytes:
		return nil, fmt.Errorf("transfer %d has %d bytes, more than %d", c.ID, c.Total, maxFrameBytes)
	case len(r.transfers) >= maxTransfers:
		return nil, fmt.Errorf("more than %d incomplete transfers", maxTransfers)
	case r.reserved+c.Total > reassemblyBytes:
		return nil, fmt.Errorf("incomplete transfers need more than %d bytes", reassemblyBytes)
	}
	t := &inboundTransfer{total: c.Total, checksum: c.Checksum}
	if r.transfers == nil {
		r.transfers = map[uint64]*inboundTransfer{}
	}
	r.transfers[c.ID] = t
	r.reserved += c.Total
	return t, nil
}

// extend appends the data of c.
func (t *inboundTransfer) extend(c chunk) error {
	have, more := uint64(len(t.data)), uint64(len(c.Data))
	switch {
	case c.Total != t.total || c.Checksum != t.checksum:
		return fmt.Errorf("chunk of transfer %d has another total length or checksum", c.ID)
	case c.Offset != have:
		return fmt.Errorf("transfer %d has a chunk at offset %d instead of %d", c.ID, c.Offset, have)
	case more > t.total-have:
		return fmt.Errorf("transfer %d is longer than %d bytes", c.ID, t.total)
	}
	t.grow(have + more)
	t.data = append(t.data, c.Data...)
	return nil
}

// grow enlarges the buffer to at least need bytes, by doubling it up to the total
// length.
func (t *inboundTransfer) grow(need uint64) {
	if need <= uint64(cap(t.data)) {
		return
	}
	size := min(max(need, 2*uint64(cap(t.data)), initialBufferBytes), t.total)
	grown := make([]byte, len(t.data), size)
	copy(grown, t.data)
	t.data = grown
}
