package entry

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/ctl"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/operators"
	"github.com/snipereach/snipereach/transport"
)

func validSettings() *Settings {
	s := DefaultSettings()
	s.ID, s.FailureDomain, s.ClusterSecret = "entry-1", "hall-a", "a secret of the cluster"
	s.ControlReplicas = []string{"127.0.0.1:7001"}
	return s
}

func TestSettingsCheckNamesInvalidKey(t *testing.T) {
	assert.NilError(t, validSettings().Check())
	for want, invalidate := range map[string]func(*Settings){
		`"id"`:                  func(s *Settings) { s.ID = "" },
		`"callers_tls.ca"`:      func(s *Settings) { s.CallersTLS.CA = "ca.pem" },
		`"operators_tls.ca"`:    func(s *Settings) { s.OperatorsTLS.CA = "ca.pem" },
		`"operators_listen"`:    func(s *Settings) { s.Operators = "8081" },
		`"operator.name"`:       func(s *Settings) { s.Operator = []operators.Operator{{}} },
		`"operator.key_sha256"`: func(s *Settings) { s.Operator = []operators.Operator{{Name: "asha", KeySHA256: "12"}} },
		`"control.data_dir"`:    func(s *Settings) { s.Control = &control.Settings{} },
		`"claims_data_dir"`: func(s *Settings) {
			s.ClaimsDataDir, s.Control = "/data/", &control.Settings{DataDir: "/data"}
		},
		`"control_replicas"`:      func(s *Settings) { s.ControlReplicas = nil },
		`"lease": must be at lea`: func(s *Settings) { s.Lease = s.AnnounceInterval },
	} {
		s := validSettings()
		invalidate(s)
		err := s.Check()
		assert.ErrorIs(t, err, kernel.ErrSettings, want)
		assert.ErrorContains(t, err, want)
	}
}

// writeCertificate writes a self-signed certificate for loopback and its key.
func writeCertificate(t *testing.T) transport.TLSSettings {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	der, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	s := transport.TLSSettings{Certificate: filepath.Join(t.TempDir(), "c.pem"), Key: filepath.Join(t.TempDir(), "k.pem")}
	for path, block := range map[string]*pem.Block{s.Certificate: {Type: "CERTIFICATE", Bytes: cert}, s.Key: {Type: "EC PRIVATE KEY", Bytes: der}} {
		assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(block), 0o600))
	}
	return s
}

// With operators_tls, the operators' address answers only over TLS, and only clients that
// trust the CA send their key.
func TestOperatorAddressRequiresTLS(t *testing.T) {
	s := validSettings()
	s.Operators = "127.0.0.1:0"
	s.OperatorsTLS = writeCertificate(t)
	digest := sha256.Sum256([]byte("asha's key"))
	s.Operator = []operators.Operator{{Name: "asha", KeySHA256: hex.EncodeToString(digest[:])}}
	e, err := New(s, log.NewNopLogger())
	assert.NilError(t, err)
	t.Cleanup(func() { e.Stop() })
	assert.NilError(t, e.Start(context.Background()))
	dump := func(args ...string) (int, string) {
		var out bytes.Buffer
		code := ctl.Main(append(args, "--key", "asha's key", "dump"), strings.NewReader(""), &out, &out)
		return code, out.String()
	}
	code, out := dump("--server", "https://"+e.OperatorAddress(), "--ca", s.OperatorsTLS.Certificate)
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, `"entry-1"`), out)
	var refused bytes.Buffer
	code = ctl.Main([]string{"--server", "https://" + e.OperatorAddress(), "--ca", s.OperatorsTLS.Certificate, "--key", "none", "dump"}, nil, &refused, &refused)
	assert.Equal(t, code, 1)
	assert.Assert(t, strings.Contains(refused.String(), "Operators identify themselves"), refused.String())
	code, out = dump("--server", "https://"+e.OperatorAddress())
	assert.Equal(t, code, 1, out)
	assert.Assert(t, strings.Contains(out, "certificate"), out)
	code, out = dump("--server", "http://"+e.OperatorAddress())
	assert.Equal(t, code, 1, out)
	code, out = dump("--server", "https://"+e.OperatorAddress(), "--ca", s.OperatorsTLS.Key)
	assert.Equal(t, code, 2, out)
}

// Claims are stored in the data folder of a control replica, in a configured folder, or
// in memory only.
func TestClaimsFolder(t *testing.T) {
	dir := t.TempDir()
	replica := &control.Settings{DataDir: dir}
	for _, c := range []struct {
		set     string
		control *control.Settings
		want    string
	}{
		{ClaimsDirAuto, nil, ""},
		{"", replica, ""},
		{ClaimsDirAuto, replica, filepath.Join(dir, ClaimsDirName)},
		{filepath.Join(dir, "other"), nil, filepath.Join(dir, "other")},
	} {
		s := validSettings()
		s.ClaimsDataDir, s.Control = c.set, c.control
		fs, err := s.claimsFolder()
		assert.NilError(t, err)
		assert.Equal(t, fs != nil, c.want != "")
		if c.want != "" {
			_, err := os.Stat(c.want)
			assert.NilError(t, err)
		}
	}
}
