package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/strictjson"
)

// Settings are what an entry process must know before it reads its bundle. They
// describe the process and its surroundings; policy is in the bundle only.
type Settings struct {
	Entry  string `json:"entry"`  // name of the entry process, unique in the cell
	Domain string `json:"domain"` // failure domain of the VM
	Region string `json:"region"`
	// Caller, Peer and Operator are the listeners for callers, for other entry
	// processes and for health, metrics and dumps.
	Caller   Listener `json:"caller"`
	Peer     Listener `json:"peer"`
	Operator Listener `json:"operator"`
	VMList   string   `json:"vm_list"` // IP:port of the platform's VM list
	Log      string   `json:"log"`     // IP:port of the platform's log service
	// Operators maps the name of each operator to an Ed25519 public key in
	// hexadecimal or base64. Only their rolls take effect.
	Operators map[string]string `json:"operators"`
	Limits    Limits            `json:"limits"`
	// ShutdownGraceMS is the time in milliseconds that a planned stop waits for
	// requests in progress.
	ShutdownGraceMS int64 `json:"shutdown_grace_ms"`
	// ShutdownNoticeMS is the time in milliseconds that a stopping process goes on
	// to answer callers with not_ready before it closes its listeners, so that the
	// load balancer turns to other processes first. It is part of the grace.
	ShutdownNoticeMS int64  `json:"shutdown_notice_ms"`
	LogLevel         string `json:"log_level"` // debug, info, warn or error
}

// Listener is a TCP address of the process.
type Listener struct {
	// Listen is the IP:port to bind. Port 0 lets the kernel choose.
	Listen string `json:"listen"`
	// Advertise is the IP:port under which others reach the listener. It
	// defaults to Listen; port 0 stands for the port that was bound.
	Advertise string `json:"advertise"`
	TLS       *TLS   `json:"tls"` // nil for plain TCP
}

// TLS names PEM files. Relative paths start at the directory of the settings.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// ClientCA makes the listener require client certificates by these
	// authorities; empty requires none.
	ClientCA string `json:"client_ca"`
}

// Limits bound the memory of a process.
type Limits struct {
	MaxBodyBytes   int64 `json:"max_body_bytes"`  // of one caller's request
	MaxConnections int64 `json:"max_connections"` // of callers
	MaxWaiting     int64 `json:"max_waiting"`     // requests of callers that wait for an answer
}

// Defaults of fields that are left out.
const (
	DefaultMaxBodyBytes    = 512 << 10
	DefaultMaxConnections  = 1024
	DefaultMaxWaiting      = 4096
	DefaultShutdownGraceMS = 30000
	// DefaultShutdownNoticeMS is two health checks a second apart.
	DefaultShutdownNoticeMS = 2000
	DefaultLogLevel         = "info"
)

const maxFileBytes = 1 << 20

// Load reads, completes and checks the settings in the file at path, and reads
// the TLS files that they name. The error holds one *fault.Error of kind Invalid
// for each problem.
func Load(path string) (Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return Settings{}, err
	}
	s, problems := strictjson.Decode(data, func(s *Settings) strictjson.Problems {
		s.complete(filepath.Dir(path))
		return append(s.check(), s.checkFiles()...)
	})
	return s, problems.Err()
}

// Parse reads, completes and checks settings without reading TLS files. The
// error holds one *fault.Error of kind Invalid for each problem.
func Parse(data []byte) (Settings, error) {
	s, problems := strictjson.Decode(data, func(s *Settings) strictjson.Problems {
		s.complete("")
		return s.check()
	})
	return s, problems.Err()
}

func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the settings cannot be read", "give the path of a readable settings file")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the settings cannot be read", "give the path of a readable settings file")
	}
	if len(data) > maxFileBytes {
		return nil, fault.New(fault.Invalid, fmt.Sprintf("the settings have more than %d bytes", maxFileBytes), "give the path of a settings file")
	}
	return data, nil
}

// complete fills in defaults and makes TLS paths start at dir.
func (s *Settings) complete(dir string) {
	setDefault(&s.Limits.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&s.Limits.MaxConnections, DefaultMaxConnections)
	setDefault(&s.Limits.MaxWaiting, DefaultMaxWaiting)
	setDefault(&s.ShutdownGraceMS, DefaultShutdownGraceMS)
	setDefault(&s.ShutdownNoticeMS, min(DefaultShutdownNoticeMS, s.ShutdownGraceMS))
	setDefault(&s.LogLevel, DefaultLogLevel)
	for _, l := range s.listeners() {
		setDefault(&l.Advertise, l.Listen)
		if l.TLS == nil {
			continue
		}
		for _, file := range []*string{&l.TLS.Cert, &l.TLS.Key, &l.TLS.ClientCA} {
			if *file != "" && !filepath.IsAbs(*file) {
				*file = filepath.Join(dir, *file)
			}
		}
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (s *Settings) listeners() map[string]*Listener {
	return map[string]*Listener{"caller": &s.Caller, "peer": &s.Peer, "operator": &s.Operator}
}

// ShutdownGrace returns the time that a planned stop waits for requests.
func (s *Settings) ShutdownGrace() time.Duration {
	return time.Duration(s.ShutdownGraceMS) * time.Millisecond
}

// OperatorKeys returns the operators' public keys by name. The settings must
// have passed Check; entries that are no keys are left out.
func (s *Settings) OperatorKeys() map[string]ed25519.PublicKey {
	keys := make(map[string]ed25519.PublicKey, len(s.Operators))
	for name, text := range s.Operators {
		if key, ok := decodeKey(text); ok {
			keys[name] = key
		}
	}
	return keys
}

// ShutdownNotice returns the time that a planned stop answers callers at least.
func (s *Settings) ShutdownNotice() time.Duration {
	return time.Duration(s.ShutdownNoticeMS) * time.Millisecond
}

func decodeKey(text string) (ed25519.PublicKey, bool) {
	raw, err := hex.DecodeString(text)
	if err != nil {
		raw, err = base64.StdEncoding.DecodeString(text)
	}
	return raw, err == nil && len(raw) == ed25519.PublicKeySize
}
