package peer

import (
	"fmt"
	"reflect"

	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fxamacker/cbor/v2"
)

// frameType is the first byte of every frame. One CBOR map follows it.
type frameType byte

// Frame types. They are part of the protocol: a number is never reused.
const (
	frameHello     frameType = 1
	frameHeartbeat frameType = 2
	frameChunk     frameType = 3

	frameSummary       frameType = 16
	frameReserve       frameType = 17
	frameReserved      frameType = 18
	frameRelease       frameType = 19
	frameCommit        frameType = 20
	frameStarted       frameType = 21
	frameStartRefused  frameType = 22
	frameEnded         frameType = 23
	frameAcknowledge   frameType = 24
	frameCancelAttempt frameType = 25
	frameWorkerHeld    frameType = 26
	frameQueryAttempt  frameType = 27
	frameAttemptState  frameType = 28
	frameForward       frameType = 29
	frameForwardAnswer frameType = 30
	frameFetchRoll     frameType = 31
	frameRoll          frameType = 32
	frameHandOver      frameType = 33
	frameWorkspaceUse  frameType = 34
)

// protocolVersion is increased by incompatible changes. New optional fields do
// not change it, because unknown fields are ignored.
const protocolVersion = 1

// hello is the first frame in both directions of a connection.
type hello struct {
	Entry       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Domain      string `cbor:"3,keyasint"`
	Protocol    uint64 `cbor:"4,keyasint"`
	// Urgent is true on the urgent connection and false on the bulk connection.
	Urgent bool `cbor:"5,keyasint,omitempty"`
	// Link identifies the link on both connections; the dialing side chooses it.
	Link uint64 `cbor:"6,keyasint"`
}

// heartbeat is sent on the urgent connection once per heartbeat interval.
type heartbeat struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Echo is the sequence number of the last heartbeat received.
	Echo uint64 `cbor:"2,keyasint,omitempty"`
	// BulkFrames counts the frames received on the bulk connection.
	BulkFrames uint64 `cbor:"3,keyasint,omitempty"`
	// Summary is nil if it has not changed since the last one sent on the link.
	Summary *message.Summary `cbor:"4,keyasint,omitempty"`
}

// chunk is a part of a message above ChunkThreshold.
type chunk struct {
	ID       uint64 `cbor:"1,keyasint"`
	Offset   uint64 `cbor:"2,keyasint,omitempty"`
	Total    uint64 `cbor:"3,keyasint"`
	Checksum uint64 `cbor:"4,keyasint"` // xxhash64 of the complete frame
	Data     []byte `cbor:"5,keyasint"`
}

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:   cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden,
		TagsMd:      cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// decodeFunc decodes the body of one frame type.
type decodeFunc func(body []byte) (message.Message, error)

var (
	frameTypes  = map[reflect.Type]frameType{}
	decodeFuncs = map[frameType]decodeFunc{}
)

// register assigns a frame type to message type T.
func register[T message.Message](number frameType) {
	frameTypes[reflect.TypeFor[T]()] = number
	decodeFuncs[number] = func(body []byte) (message.Message, error) {
		var m T
		if err := decodeBody(body, &m); err != nil {
			return nil, err
		}
		return m, nil
	}
}

func init() {
	register[message.Summary](frameSummary)
	register[message.Reserve](frameReserve)
	register[message.Reserved](frameReserved)
	register[message.Release](frameRelease)
	register[message.Commit](frameCommit)
	register[message.Started](frameStarted)
	register[message.StartRefused](frameStartRefused)
	register[message.Ended](frameEnded)
	register[message.Acknowledge](frameAcknowledge)
	register[message.CancelAttempt](frameCancelAttempt)
	register[message.WorkerHeld](frameWorkerHeld)
	register[message.QueryAttempt](frameQueryAttempt)
	register[message.AttemptState](frameAttemptState)
	register[message.Forward](frameForward)
	register[message.ForwardAnswer](frameForwardAnswer)
	register[message.FetchRoll](frameFetchRoll)
	register[message.Roll](frameRoll)
	register[message.HandOver](frameHandOver)
	register[message.WorkspaceUse](frameWorkspaceUse)
}

// encodeMessage returns the frame of m.
func encodeMessage(m message.Message) ([]byte, error) {
	number, ok := frameTypes[reflect.TypeOf(m)]
	if !ok {
		return nil, fmt.Errorf("message type %T has no frame type", m)
	}
	return encodeFrame(number, m)
}

// encodeFrame returns a frame of type number with body encoded as CBOR.
func encodeFrame(number frameType, body any) ([]byte, error) {
	encoded, err := encoder.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode frame %d: %w", number, err)
	}
	frame := make([]byte, 0, 1+len(encoded))
	frame = append(frame, byte(number))
	return append(frame, encoded...), nil
}

// splitFrame returns the type and the body of a frame.
func splitFrame(frame []byte) (frameType, []byte, error) {
	if len(frame) < 2 {
		return 0, nil, fmt.Errorf("frame of %d bytes is too short", len(frame))
	}
	return frameType(frame[0]), frame[1:], nil
}

// decodeMessage returns the message in frame. It retains no reference to frame.
func decodeMessage(frame []byte) (message.Message, error) {
	number, body, err := splitFrame(frame)
	if err != nil {
		return nil, err
	}
	decode, ok := decodeFuncs[number]
	if !ok {
		return nil, fmt.Errorf("frame number %d is unknown", number)
	}
	m, err := decode(body)
	if err != nil {
		return nil, fmt.Errorf("decode frame %d: %w", number, err)
	}
	return m, nil
}

// cborMap is the CBOR major type of a map, the three highest bits of an item.
const cborMap = 5

// decodeBody decodes one CBOR map into v. It rejects null and other items that
// the library would decode as a zero struct.
func decodeBody(body []byte, v any) error {
	if len(body) == 0 || body[0]>>5 != cborMap {
		return fmt.Errorf("body of %T is not a CBOR map", v)
	}
	return decoder.Unmarshal(body, v)
}

// payloadBytes returns the size in bytes of the parts of m that can be long.
func payloadBytes(m message.Message) int {
	switch m := m.(type) {
	case message.Ended:
		return len(m.Report.Body) + len(m.Report.Spec.Payload)
	case message.Commit:
		return len(m.Payload)
	case message.Forward:
		return len(m.Job.Payload)
	case message.ForwardAnswer:
		return len(m.Answer.Body)
	case message.Roll:
		total := 0
		for _, record := range m.Records {
			total += len(record)
		}
		return total
	default:
		return 0
	}
}
