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
	publicKeyHex  = strings.Repeat("0a", 32)
	validSettings = `{"entry":"entry-1","domain":"whk-a","region":"na-central",
 "caller":{"listen":"10.0.0.1:7000"},"peer":{"listen":"0.0.0.0:7001","advertise":"10.0.0.1:7001"},"operator":{"listen":"[::1]:0"},
 "vm_list":"10.0.0.2:80","log":"10.0.0.3:80","operators":{"isla":"` + publicKeyHex + `"}}`
)

func settingsWith(old, new string) string { return strings.Replace(validSettings, old, new, 1) }

// TestParseRejects guards against invalid settings that pass the checks or are
// reported without the path of the field and a remedy.
func TestParseRejects(t *testing.T) {
	raw, err := hex.DecodeString(publicKeyHex)
	assert.NilError(t, err)
	for _, c := range []struct{ name, data, path string }{
		{"empty", ``, "document"},
		{"unknown field", settingsWith(`"entry"`, `"colour":1,"entry"`), "colour"},
		{"duplicate key", settingsWith(`"entry"`, `"entry":"x","entry"`), "entry"},
		{"wrong type", settingsWith(`"entry-1"`, `1`), "entry"},
		{"null", settingsWith(`{"listen":"[::1]:0"}`, `null`), "operator"},
		{"missing entry", settingsWith(`"entry":"entry-1",`, ``), "entry"},
		{"domain", settingsWith(`whk-a`, `WHK A`), "domain"},
		{"region", settingsWith(`na-central`, `-`), "region"},
		{"host name", settingsWith(`10.0.0.1:7000`, `localhost:7000`), "caller.listen"},
		{"no port", settingsWith(`10.0.0.1:7000`, `10.0.0.1`), "caller.listen"},
		{"multicast", settingsWith(`10.0.0.1:7000`, `224.0.0.1:7000`), "caller.listen"},
		{"zone", settingsWith(`[::1]:0`, `[fe80::1%eth0]:0`), "operator.listen"},
		{"no listener", settingsWith(`"operator":{"listen":"[::1]:0"},`, ``), "operator.listen"},
		{"same port", settingsWith(`[::1]:0`, `10.0.0.1:7001`), "peer.listen"},
		{"no advertised address", settingsWith(`,"advertise":"10.0.0.1:7001"`, ``), "peer.advertise"},
		{"advertised port", settingsWith(`"advertise":"10.0.0.1:7001"`, `"advertise":"10.0.0.1:0"`), "peer.advertise"},
		{"advertised host name", settingsWith(`"advertise":"10.0.0.1:7001"`, `"advertise":"vm:7001"`), "peer.advertise"},
		{"VM list", settingsWith(`10.0.0.2:80`, `vms:80`), "vm_list"},
		{"log", settingsWith(`10.0.0.3:80`, `0.0.0.0:80`), "log"},
		{"log port", settingsWith(`10.0.0.3:80`, `10.0.0.3:0`), "log"},
		{"no operators", settingsWith(`"isla":"`+publicKeyHex+`"`, ``), "operators"},
		{"operator name", settingsWith(`"isla"`, `"Is\nla"`), "operators.Is?la"},
		{"short key", settingsWith(publicKeyHex, publicKeyHex[2:]), "operators.isla"},
		{"shared key", settingsWith(`"isla"`, `"ewan":"`+base64.StdEncoding.EncodeToString(raw)+`","isla"`), "operators.isla"},
		{"body limit", settingsWith(`"entry"`, `"limits":{"max_body_bytes":5},"entry"`), "limits.max_body_bytes"},
		{"connection limit", settingsWith(`"entry"`, `"limits":{"max_connections":-1},"entry"`), "limits.max_connections"},
		{"waiting limit", settingsWith(`"entry"`, `"limits":{"max_waiting":1000000000},"entry"`), "limits.max_waiting"},
		{"grace", settingsWith(`"entry"`, `"shutdown_grace_ms":-1,"entry"`), "shutdown_grace_ms"},
		{"log level", settingsWith(`"entry"`, `"log_level":"loud","entry"`), "log_level"},
		{"half of TLS", settingsWith(`7000"`, `7000","tls":{"cert":"c.pem"}`), "caller.tls"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.data))
			checkProblem(t, err, c.path)
		})
	}
}

// checkProblem fails unless err reports a problem of the field at path.
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

// TestParseReportsAll guards against a parser that stops at the first problem.
func TestParseReportsAll(t *testing.T) {
	_, err := Parse([]byte(`{"colour":1}`))
	for _, path := range []string{"colour", "entry", "domain", "region", "caller.listen", "peer.listen", "operator.listen", "vm_list", "log", "operators"} {
		checkProblem(t, err, path)
	}
}

// TestParse guards against wrong defaults, and against keys that differ when they are
// given in hexadecimal and in base64.
func TestParse(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.Caller.Advertise, "10.0.0.1:7000")
	assert.DeepEqual(t, s.Limits, Limits{DefaultMaxBodyBytes, DefaultMaxConnections, DefaultMaxWaiting})
	assert.Equal(t, s.ShutdownGrace(), 30*time.Second)
	assert.Equal(t, s.LogLevel, DefaultLogLevel)
	raw, err := hex.DecodeString(publicKeyHex)
	assert.NilError(t, err)
	other, err := Parse([]byte(settingsWith(publicKeyHex, base64.StdEncoding.EncodeToString(raw))))
	assert.NilError(t, err)
	assert.DeepEqual(t, s.OperatorKeys(), other.OperatorKeys())
}

// TestLoad guards against example settings that are refused and against TLS files that
// are not checked when the process starts.
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
		return write("s.json", []byte(settingsWith(`7000"`, `7000","tls":{`+files+`}`)))
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

// certificate returns a new self-signed certificate and its private key in PEM form.
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

// FuzzParse guards against a panic and against accepted settings that fail Check.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
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
