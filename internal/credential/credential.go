package credential

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest returns the digest with the hexadecimal form text, or an Invalid *fault.Error
// that does not contain text.
func ParseDigest(text string) (d Digest, err error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(d) {
		return Digest{}, fault.New(fault.Invalid, "a digest of a key is not the hexadecimal form of 32 bytes", "give the SHA-256 of the key")
	}
	return Digest(raw), nil
}

// Equal reports whether both digests are equal, in a time that does not depend on them.
func (d Digest) Equal(other Digest) bool { return subtle.ConstantTimeCompare(d[:], other[:]) == 1 }

// MarshalText returns the hexadecimal form of the digest.
func (d Digest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText sets the digest from its hexadecimal form. Errors are those of ParseDigest.
func (d *Digest) UnmarshalText(text []byte) (err error) {
	*d, err = ParseDigest(string(text))
	return err
}

// bearerPrefix begins the value of an Authorization header with a key.
const bearerPrefix = "Bearer "

// ParseBearer returns the key in the value of an Authorization header. It is empty, and ok is
// true, if the header is empty; ok is false if the header has another form.
func ParseBearer(header string) (key string, ok bool) {
	if header == "" {
		return "", true
	}
	return strings.CutPrefix(header, bearerPrefix)
}

// Keyring maps keys to workspaces. The zero value holds no key.
type Keyring struct {
	byPrefix map[uint64][]entry // by the first 8 bytes of the digest
	size     int
}

// entry is a key of a workspace.
type entry struct {
	digest    Digest
	workspace string
}

// NewKeyring returns an empty Keyring.
func NewKeyring() *Keyring { return &Keyring{byPrefix: map[uint64][]entry{}} }

// Add adds a key of a workspace before the Keyring is used by others. It reports the workspace
// to which the key belongs, which is another one if that had it before.
func (k *Keyring) Add(digest Digest, workspace string) (owner string) {
	if owner, known := k.find(digest); known {
		return owner
	}
	prefix := prefixOf(digest)
	k.byPrefix[prefix] = append(k.byPrefix[prefix], entry{digest, workspace})
	k.size++
	return workspace
}

// Len returns the number of keys; 0 for nil.
func (k *Keyring) Len() int {
	if k == nil {
		return 0
	}
	return k.size
}

// Workspace returns the workspace to which a key belongs, and whether there is one.
func (k *Keyring) Workspace(key string) (workspace string, known bool) { return k.find(DigestOf(key)) }

// find returns the workspace of the key with the digest. The position in the map depends on the
// digest only, from which a key cannot be derived.
func (k *Keyring) find(digest Digest) (workspace string, known bool) {
	for _, e := range k.byPrefix[prefixOf(digest)] {
		if e.digest.Equal(digest) {
			workspace, known = e.workspace, true
		}
	}
	return workspace, known
}

func prefixOf(d Digest) uint64 { return binary.BigEndian.Uint64(d[:]) }
