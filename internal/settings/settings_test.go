package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

var (
	keyA = strings.Repeat("0a", 32)
	good = `{"entry":"entry-1","domain":"whk-a","region":"na-central",
 "caller":{"listen":"10.0.0.1:7000"},"peer":{"listen":"0.0.0.0:7001","advertise":"10.0.0.1:7001"},"operator":{"listen":"[::1]:0"},
 "vm_list":"10.0.0.2:80","log":"10.0.0.3:80","operators":{"isla":"` + keyA + `"}}`
)

func with(old, new string) string { return strings.Replace(good, old, new, 1) }

// TestParseRejects guards against wrong settings that pass their checks or are
// reported without the path of the field and a remedy.
func TestParseRejects(t *testing.T) {
	raw, err := hex.DecodeString(keyA)
	assert.NilError(t, err)
	for _, c := range []struct{ name, data, path string }{
		{"empty", ``, "document"},
		{"unknown field", with(`"entry"`, `"colour":1,"entry"`), "colour"},
		{"duplicate key", with(`"entry"`, `"entry":"x","entry"`), "entry"},
		{"wrong type", with(`"entry-1"`, `1`), "entry"},
		{"null", with(`{"listen":"[::1]:0"}`, `null`), "operator"},
		{"missing entry", with(`"entry":"entry-1",`, ``), "entry"},
		{"domain", with(`whk-a`, `WHK A`), "domain"},
		{"region", with(`na-central`, `-`), "region"},
		{"host name", with(`10.0.0.1:7000`, `localhost:7000`), "caller.listen"},
		{"no port", with(`10.0.0.1:7000`, `10.0.0.1`), "caller.listen"},
		{"multicast", with(`10.0.0.1:7000`, `224.0.0.1:7000`), "caller.listen"},
		{"zone", with(`[::1]:0`, `[fe80::1%eth0]:0`), "operator.listen"},
		{"no listener", with(`"operator":{"listen":"[::1]:0"},`, ``), "operator.listen"},
		{"same port", with(`[::1]:0`, `10.0.0.1:7001`), "peer.listen"},
		{"no advertised address", with(`,"advertise":"10.0.0.1:7001"`, ``), "peer.advertise"},
		{"advertised port", with(`"advertise":"10.0.0.1:7001"`, `"advertise":"10.0.0.1:0"`), "peer.advertise"},
		{"advertised host name", with(`"advertise":"10.0.0.1:7001"`, `"advertise":"vm:7001"`), "peer.advertise"},
		{"VM list", with(`10.0.0.2:80`, `vms:80`), "vm_list"},
		{"log", with(`10.0.0.3:80`, `0.0.0.0:80`), "log"},
		{"log port", with(`10.0.0.3:80`, `10.0.0.3:0`), "log"},
		{"no operators", with(`"isla":"`+keyA+`"`, ``), "operators"},
		{"operator name", with(`"isla"`, `"Is\nla"`), "operators.Is?la"},
		{"short key", with(keyA, keyA[2:]), "operators.isla"},
		{"shared key", with(`"isla"`, `"ewan":"`+base64.StdEncoding.EncodeToString(raw)+`","isla"`), "operators.isla"},
		{"body limit", with(`"entry"`, `"limits":{"max_body_bytes":5},"entry"`), "limits.max_body_bytes"},
		{"connection limit", with(`"entry"`, `"limits":{"max_connections":-1},"entry"`), "limits.max_connections"},
		{"waiting limit", with(`"entry"`, `"limits":{"max_waiting":1000000000},"entry"`), "limits.max_waiting"},
		{"grace", with(`"entry"`, `"shutdown_grace_ms":-1,"entry"`), "shutdown_grace_ms"},
		{"log level", with(`"entry"`, `"log_level":"loud","entry"`), "log_level"},
		{"half of TLS", with(`7000"`, `7000","tls":{"cert":"c.pem"}`), "caller.tls"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.data))
			checkProblem(t, err, c.path)
		})
	}
}

func checkProblem(t *testing.T, err error, path string) {
	t.Helper()
	var list interface{ Unwrap() []error }
	assert.Assert(t, errors.As(err, &list), "%v", err)
	found := false
	for _, err := range list.Unwrap() {
		e := fault.As(err)
		found = found || strings.HasPrefix(e.Message, path+" ")
		assert.Equal(t, e.Kind, fault.Invalid)
		assert.Assert(t, e.Remedy != "" && !strings.Contains(e.Error(), "\n"))
	}
	assert.Assert(t, found, "no problem at %s in: %v", path, err)
}

// TestParseReportsAll guards against a report that stops at the first problem.
func TestParseReportsAll(t *testing.T) {
	_, err := Parse([]byte(`{"colour":1}`))
	for _, path := range []string{"colour", "entry", "domain", "region", "caller.listen", "peer.listen", "operator.listen", "vm_list", "log", "operators"} {
		checkProblem(t, err, path)
	}
}

// TestParse guards against wrong defaults and keys that are read differently in
// hexadecimal and base64.
func TestParse(t *testing.T) {
	s, err := Parse([]byte(good))
	assert.NilError(t, err)
	assert.Equal(t, s.Caller.Advertise, "10.0.0.1:7000")
	assert.DeepEqual(t, s.Limits, Limits{DefaultMaxBodyBytes, DefaultMaxConnections, DefaultMaxWaiting})
	assert.Equal(t, s.ShutdownGrace(), 30*time.Second)
	assert.Equal(t, s.LogLevel, DefaultLogLevel)
	raw, err := hex.DecodeString(keyA)
	assert.NilError(t, err)
	other, err := Parse([]byte(with(keyA, base64.StdEncoding.EncodeToString(raw))))
	assert.NilError(t, err)
	assert.DeepEqual(t, s.OperatorKeys(), other.OperatorKeys())
}

// TestLoad guards against examples that are refused and TLS files that are not
// checked when the process starts.
func TestLoad(t *testing.T) {
	for _, name := range []string{"order-desk", "enquiry-desk"} {
		_, err := Load("../../examples/" + name + "/settings.json")
		assert.NilError(t, err)
	}
	_, err := Load(filepath.Join(t.TempDir(), "missing.json"))
	assert.Equal(t, fault.KindOf(err), fault.Invalid)

	dir := t.TempDir()
	write := func(name string, data []byte) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, data, 0o600))
		return path
	}
	cert, key := certificate(t)
	write("c.pem", cert)
	write("k.pem", key)
	withTLS := func(files string) string {
		return write("s.json", []byte(with(`7000"`, `7000","tls":{`+files+`}`)))
	}
	s, err := Load(withTLS(`"cert":"c.pem","key":"k.pem","client_ca":"c.pem"`))
	assert.NilError(t, err)
	assert.Equal(t, s.Caller.TLS.Cert, filepath.Join(dir, "c.pem"))
	for _, files := range []string{`"cert":"k.pem","key":"k.pem"`, `"cert":"c.pem","key":"none.pem"`,
		`"cert":"c.pem","key":"k.pem","client_ca":"k.pem"`, `"cert":"c.pem","key":"k.pem","client_ca":"none.pem"`} {
		_, err := Load(withTLS(files))
		checkProblem(t, err, "caller.tls")
	}
}

func certificate(t *testing.T) (cert, key []byte) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	assert.NilError(t, err)
	pkcs, err := x509.MarshalPKCS8PrivateKey(private)
	assert.NilError(t, err)
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: pkcs})
}

// FuzzParse guards against a panic and against accepted settings that fail when
// they are checked again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte(`{"caller":{"listen":":","tls":{}},"operators":{"":""},"operators":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err != nil {
			assert.Equal(t, fault.KindOf(err), fault.Invalid)
			return
		}
		assert.NilError(t, s.Check())
		assert.Equal(t, len(s.OperatorKeys()), len(s.Operators))
	})
}
