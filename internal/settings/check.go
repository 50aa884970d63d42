package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"regexp"
	"slices"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/strictjson"
)

const (
	minBodyBytes   = 1 << 10
	maxBodyBytes   = 64 << 20
	maxConnections = 100_000
	maxWaiting     = 1_000_000
	minGraceMS     = 100
	maxGraceMS     = 60 * 60 * 1000
	maxOperators   = 1000
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)
	logLevels   = []string{"debug", "info", "warn", "error"}
)

const nameRemedy = "use 1 to 64 of a-z, 0-9 and dash, starting and ending with a letter or digit"

// Check returns all problems of the settings in one error, or nil. Each problem is a
// *fault.Error of kind Invalid with the path of the field and a remedy. Defaults must
// be filled in. Check does not read TLS files.
func (s *Settings) Check() error { return s.check().Err() }

func (s *Settings) check() strictjson.Problems {
	var p strictjson.Problems
	checkName(&p, "entry", s.Entry)
	checkName(&p, "domain", s.Domain)
	checkName(&p, "region", s.Region)
	s.checkListeners(&p)
	checkRemote(&p, "vm_list", s.VMList)
	checkRemote(&p, "log", s.Log)
	s.checkOperators(&p)
	checkInt(&p, "limits.max_body_bytes", s.Limits.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	checkInt(&p, "limits.max_connections", s.Limits.MaxConnections, 1, maxConnections)
	checkInt(&p, "limits.max_waiting", s.Limits.MaxWaiting, 1, maxWaiting)
	checkInt(&p, "shutdown_grace_ms", s.ShutdownGraceMS, minGraceMS, maxGraceMS)
	checkInt(&p, "shutdown_notice_ms", s.ShutdownNoticeMS, 1, s.ShutdownGraceMS)
	if !slices.Contains(logLevels, s.LogLevel) {
		p.Add("log_level", fmt.Sprintf("is %q", s.LogLevel), "use debug, info, warn or error")
	}
	return p
}

func (s *Settings) checkListeners(p *strictjson.Problems) {
	listeners := s.listeners()
	names := slices.Sorted(maps.Keys(listeners))
	bound := map[string]netip.AddrPort{}
	for _, name := range names {
		l := listeners[name]
		listen, ok := checkAddress(p, name+".listen", l.Listen)
		if ok {
			checkAdvertise(p, name, l, listen)
			checkOverlap(p, name, listen, bound)
			bound[name] = listen
		}
		if l.TLS != nil && (l.TLS.Cert == "" || l.TLS.Key == "") {
			p.Add(name+".tls", "lacks cert or key", "name both PEM files, or leave tls out for plain TCP")
		}
	}
}

func checkAdvertise(p *strictjson.Problems, name string, l *Listener, listen netip.AddrPort) {
	path := name + ".advertise"
	advertise, ok := checkAddress(p, path, l.Advertise)
	if !ok {
		return
	}
	if advertise.Addr().IsUnspecified() {
		p.Add(path, "is "+l.Advertise+", which others cannot reach", "give the IP address of this VM that others connect to")
	}
	if advertise.Port() == 0 && listen.Port() != 0 {
		p.Add(path, "has port 0", "give the port, or leave advertise out")
	}
}

// checkOverlap reports a listener that would bind the same port as one in bound, the
// addresses of the listeners checked so far.
func checkOverlap(p *strictjson.Problems, name string, listen netip.AddrPort, bound map[string]netip.AddrPort) {
	for _, other := range slices.Sorted(maps.Keys(bound)) {
		b := bound[other]
		sameAddr := b.Addr() == listen.Addr() || b.Addr().IsUnspecified() || listen.Addr().IsUnspecified()
		if listen.Port() != 0 && listen.Port() == b.Port() && sameAddr {
			p.Add(name+".listen", "is also the address of "+other, "give each listener its own port")
		}
	}
}

// checkRemote checks the address of a service that the process connects to.
func checkRemote(p *strictjson.Problems, path, text string) {
	addr, ok := checkAddress(p, path, text)
	if ok && (addr.Port() == 0 || addr.Addr().IsUnspecified()) {
		p.Add(path, "is "+text+", which cannot be reached", "give the IP address and port of the service")
	}
}

func checkAddress(p *strictjson.Problems, path, text string) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil || addr.Addr().Zone() != "" || addr.Addr().IsMulticast() {
		p.Add(path, fmt.Sprintf("is %q", text), "give an IP address and a port, for example 10.0.0.7:7001; host names are not supported")
		return addr, false
	}
	return addr, true
}

func (s *Settings) checkOperators(p *strictjson.Problems) {
	if len(s.Operators) == 0 || len(s.Operators) > maxOperators {
		p.Add("operators", fmt.Sprintf("has %d entries", len(s.Operators)),
			fmt.Sprintf("name 1 to %d operators with the public keys that fulmarlatchctl keygen prints", maxOperators))
	}
	owner := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(s.Operators)) {
		path := "operators." + name
		checkName(p, path, name)
		key, ok := decodeKey(s.Operators[name])
		if !ok {
			p.Add(path, "is not an Ed25519 public key", "give 32 bytes in hexadecimal or base64, as fulmarlatchctl keygen prints them")
			continue
		}
		if other, used := owner[string(key)]; used {
			p.Add(path, "has the key of "+other, "give each operator a key of its own")
		}
		owner[string(key)] = name
	}
}

func checkName(p *strictjson.Problems, path, name string) {
	if !namePattern.MatchString(name) {
		p.Add(path, fmt.Sprintf("is not a valid name: %q", name), nameRemedy)
	}
}

func checkInt(p *strictjson.Problems, path string, value, low, high int64) {
	if value < low || value > high {
		p.Add(path, fmt.Sprintf("is %d", value), fmt.Sprintf("use %d to %d", low, high))
	}
}

// checkFiles reads the TLS files and reports those that cannot be used.
func (s *Settings) checkFiles() strictjson.Problems {
	var p strictjson.Problems
	listeners := s.listeners()
	for _, name := range slices.Sorted(maps.Keys(listeners)) {
		t := listeners[name].TLS
		if t == nil || t.Cert == "" || t.Key == "" {
			continue
		}
		if _, err := t.Config(); err != nil {
			e := fault.As(err)
			e.Message = name + ".tls " + e.Message
			p = append(p, e)
		}
	}
	return p
}

// ClientConfig reads the files and returns the TLS configuration for connections to
// processes whose certificates are signed by an authority in ClientCA. The error is of
// kind Invalid and says which file cannot be used.
func (t *TLS) ClientConfig() (*tls.Config, error) {
	config, err := t.Config()
	if err != nil {
		return nil, err
	}
	if config.ClientCAs == nil {
		return nil, fault.New(fault.Invalid, "has no client_ca", "give the authority that signed the certificates of the entry processes")
	}
	return &tls.Config{MinVersion: config.MinVersion, Certificates: config.Certificates, RootCAs: config.ClientCAs}, nil
}

// Config reads the files and returns the TLS configuration of a listener. The error is
// of kind Invalid and says which file cannot be used.
func (t *TLS) Config() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "has a cert or key that cannot be used", "give readable PEM files of a certificate and its private key")
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}}
	if t.ClientCA == "" {
		return config, nil
	}
	pem, err := os.ReadFile(t.ClientCA)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "has a client_ca that cannot be read", "give a readable PEM file of certificates")
	}
	config.ClientCAs = x509.NewCertPool()
	if !config.ClientCAs.AppendCertsFromPEM(pem) {
		return nil, fault.New(fault.Invalid, "has a client_ca without certificates", "give a PEM file of certificates")
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}
