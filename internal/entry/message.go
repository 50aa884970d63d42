package entry

import (
	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/link"
)

// Kinds of requests between entry processes.
const (
	kindSubmit        link.Kind = iota + 1 // to the holder: submitRequest, no reply body
	kindStatus                             // to the holder: jobRequest, statusReply
	kindCancel                             // to the holder: jobRequest, no reply body
	kindPending                            // to the holder: pendingRequest, pendingReply
	kindPermits                            // to a follower: permitsRequest, permitsReply
	kindRelease                            // to a follower: releaseNotice; the holder has released the cell
	kindLogSilent                          // to a follower: the log does not respond to the holder
	kindAnnounce                           // to any process: announcement, no reply body
	kindConfiguration                      // to the holder: configurationRequest, configurationReply
)

type submitRequest struct {
	Job cell.Job `cbor:"1,keyasint"`
}

type jobRequest struct {
	ID     string      `cbor:"1,keyasint"`
	Caller cell.Caller `cbor:"2,keyasint"`
}

type statusReply struct {
	State cell.State `cbor:"1,keyasint"`
}

type pendingRequest struct {
	Queue string `cbor:"1,keyasint"`
}

type pendingReply struct {
	Jobs int `cbor:"1,keyasint"`
}

type permitsRequest struct {
	Step    string   `cbor:"1,keyasint"`
	Workers []string `cbor:"2,keyasint"`
}

type permitsReply struct {
	Tickets    map[string]string `cbor:"1,keyasint"`
	ValidForMS int64             `cbor:"2,keyasint"`
}
