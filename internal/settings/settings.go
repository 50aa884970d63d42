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

// Settings hold the configuration that an entry process needs before it can read its
// bundle. They describe the process and its environment; policy is only in the bundle.
type Settings struct {
	Entry  string `json:"entry"`  // name of the entry process, unique in the cell
	Domain string `json:"domain"` // failure domain of the VM
	Region string `json:"region"`
	// Caller is the listener for callers, Peer the one for other entry processes, and
	// Operator the one for health checks, metrics and dumps.
	Caller   Listener `json:"caller"`
	Peer     Listener `json:"peer"`
	Operator Listener `json:"operator"`
	VMList   string   `json:"vm_list"` // IP:port of the platform's VM list
	Log      string   `json:"log"`     // IP:port of the platform's log service
	// Operators maps the name of each operator to an Ed25519 public key in hexadecimal
	// or base64. Only rolls signed by one of them take effect.
	Operators map[string]string `json:"operators"`
	Limits    Limits            `json:"limits"`
	// ShutdownGraceMS is the time in milliseconds that a planned stop waits for
	// requests in progress.
	ShutdownGraceMS int64 `json:"shutdown_grace_ms"`
	// ShutdownNoticeMS is the time in milliseconds during which a stopping process still
	// answers callers, with not_ready, before it closes its listeners. Meanwhile the
	// load balancer switches to other processes. It is part of the grace period.
	ShutdownNoticeMS int64  `json:"shutdown_notice_ms"`
	LogLevel         string `json:"log_level"` // debug, info, warn or error
}

// Listener is a TCP address of the process.
type Listener struct {
	// Listen is the IP:port to bind. With port 0 the kernel chooses a port.
	Listen string `json:"listen"`
	// Advertise is the IP:port at which others reach the listener. It defaults to
	// Listen; port 0 stands for the port that was bound.
	Advertise string `json:"advertise"`
	TLS       *TLS   `json:"tls"` // nil for plain TCP
}

// TLS names the PEM files of a listener. Relative paths are relative to the directory
// of the settings file.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// ClientCA holds the authorities whose client certificates the listener requires.
	// If it is empty, no client certificate is required.
	ClientCA string `json:"client_ca"`
}

// Limits holds the limits that keep the memory use of a process low.
type Limits struct {
	MaxBodyBytes   int64 `json:"max_body_bytes"`  // of one caller's request
	MaxConnections int64 `json:"max_connections"` // of callers
	MaxWaiting     int64 `json:"max_waiting"`     // callers' requests that wait for an answer
}

// Defaults of fields that are missing or 0.
const (
	DefaultMaxBodyBytes    = 512 << 10
	DefaultMaxConnections  = 1024
	DefaultMaxWaiting      = 4096
	DefaultShutdownGraceMS = 30000
	// DefaultShutdownNoticeMS covers two health checks at an interval of one second.
	DefaultShutdownNoticeMS = 2000
	DefaultLogLevel         = "info"
)

const maxFileBytes = 1 << 20

// Load reads the settings file at path, fills in defaults, and checks the settings
// and the TLS files that they name. The error holds one *fault.Error of kind Invalid
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

// Parse decodes settings, fills in defaults and checks the settings without reading
// TLS files. The error holds one *fault.Error of kind Invalid for each problem.
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

// complete fills in defaults and makes relative TLS paths relative to dir.
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

// setDefault assigns value to field if field holds its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// listeners returns the listeners by their JSON names.
func (s *Settings) listeners() map[string]*Listener {
	return map[string]*Listener{"caller": &s.Caller, "peer": &s.Peer, "operator": &s.Operator}
}

// ShutdownGrace returns the time that a planned stop waits for requests in progress.
func (s *Settings) ShutdownGrace() time.Duration {
	return time.Duration(s.ShutdownGraceMS) * time.Millisecond
}

// OperatorKeys returns the operators' public keys by name. It leaves out entries that
// are not valid keys, which Check reports.
func (s *Settings) OperatorKeys() map[string]ed25519.PublicKey {
	keys := make(map[string]ed25519.PublicKey, len(s.Operators))
	for name, text := range s.Operators {
		if key, ok := decodeKey(text); ok {
			keys[name] = key
		}
	}
	return keys
}

// ShutdownNotice returns the time during which a stopping process still answers
// callers.
func (s *Settings) ShutdownNotice() time.Duration {
	return time.Duration(s.ShutdownNoticeMS) * time.Millisecond
}

// decodeKey decodes an Ed25519 public key in hexadecimal or base64.
func decodeKey(text string) (ed25519.PublicKey, bool) {
	raw, err := hex.DecodeString(text)
	if err != nil {
		raw, err = base64.StdEncoding.DecodeString(text)
	}
	return raw, err == nil && len(raw) == ed25519.PublicKeySize
}
