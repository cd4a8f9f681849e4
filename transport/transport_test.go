package transport_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

type echo struct {
	wire.DRPCDirectoryUnimplementedServer
}

func (*echo) Announce(_ context.Context, a *wire.Announcement) (*wire.AnnounceReply, error) {
	if a.Id == "unexpected" {
		panic("unexpected message")
	}
	return &wire.AnnounceReply{LeaseMs: a.LeaseMs}, nil
}

// A peer sends what a handler did not expect, and the handler panics. The peer
// gets an error; the process goes on and answers others.
func TestPanickingHandlerEndsItsCallOnly(t *testing.T) {
	sec := secret("one cluster's secret")
	addr := serve(t, sec)
	p := transport.NewPool(sec)
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := wire.NewDRPCDirectoryClient(p.Conn(ctx, addr)).Announce(ctx, &wire.Announcement{Id: "unexpected"})
	assert.Assert(t, err != nil)
	assert.NilError(t, call(t, sec, addr))
}

func serve(t *testing.T, sec transport.Security) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := transport.NewServer(sec)
	assert.NilError(t, wire.DRPCRegisterDirectory(s.Mux, &echo{}))
	go s.Serve(context.Background(), lis)
	t.Cleanup(func() { _ = lis.Close(); s.Close() })
	return lis.Addr().String()
}

func call(t *testing.T, sec transport.Security, addr string) error {
	t.Helper()
	p := transport.NewPool(sec)
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := wire.NewDRPCDirectoryClient(p.Conn(ctx, addr)).Announce(ctx, &wire.Announcement{LeaseMs: 7})
	if err == nil {
		assert.Equal(t, r.LeaseMs, uint32(7))
	}
	return err
}

func secret(s string) transport.Security { return transport.Security{Secret: []byte(s)} }

// A process of another cluster, or a stranger, dials. Neither side takes the
// other for its own, and nothing is answered.
func TestOnlyPeersWithTheSecretAreAnswered(t *testing.T) {
	addr := serve(t, secret("one cluster's secret"))
	assert.NilError(t, call(t, secret("one cluster's secret"), addr))
	assert.Assert(t, call(t, secret("another cluster's one"), addr) != nil)
}

// A stranger that sends garbage, or nothing, or half a handshake, is dropped; the
// server goes on answering its peers.
func TestGarbageOnTheWireIsDropped(t *testing.T) {
	sec := secret("one cluster's secret")
	addr := serve(t, sec)
	for _, garbage := range []string{"", "GET / HTTP/1.1\r\n\r\n", string(make([]byte, 64)), string(make([]byte, 100_000))} {
		conn, err := net.Dial("tcp", addr)
		assert.NilError(t, err)
		_, _ = conn.Write([]byte(garbage))
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}
	assert.NilError(t, call(t, sec, addr))
}

// authority signs certificates for the tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	a := &authority{cert, key, t.TempDir()}
	a.write(t, "ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(a.dir, name)
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// issue writes a key pair for 127.0.0.1 and returns settings that name it.
func (a *authority) issue(t *testing.T, name string) transport.TLSSettings {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	return transport.TLSSettings{
		Certificate: a.write(t, name+".pem", "CERTIFICATE", der),
		Key:         a.write(t, name+".key", "EC PRIVATE KEY", keyDER),
		CA:          filepath.Join(a.dir, "ca.pem"),
	}
}

func security(t *testing.T, s transport.TLSSettings) (transport.Security, *transport.Certificates) {
	t.Helper()
	sec, certs, err := transport.NewSecurity("a secret of the tests", s)
	assert.NilError(t, err)
	return sec, certs
}

// With TLS on, a process with a certificate of another CA is refused in both
// directions, and so is one in plain text.
func TestOnlyCertificatesOfTheClusterAreAccepted(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	server, _ := security(t, ours.issue(t, "server"))
	client, _ := security(t, ours.issue(t, "client"))
	stranger, _ := security(t, theirs.issue(t, "stranger"))
	addr := serve(t, server)
	assert.NilError(t, call(t, client, addr))
	assert.Assert(t, call(t, stranger, addr) != nil)
	assert.Assert(t, call(t, secret("in plain text, with some secret"), addr) != nil)
	assert.Assert(t, call(t, client, serve(t, stranger)) != nil)
}

// The CA and all certificates are replaced while the processes run. After a
// reload new connections use them; a reload of files that are broken changes
// nothing.
func TestReloadedCertificatesAreUsed(t *testing.T) {
	old, next := newAuthority(t), newAuthority(t)
	settings := old.issue(t, "server")
	server, certs := security(t, settings)
	addr := serve(t, server)
	client, _ := security(t, next.issue(t, "client"))
	assert.Assert(t, call(t, client, addr) != nil)
	fresh := next.issue(t, "server")
	for from, to := range map[string]string{fresh.Certificate: settings.Certificate, fresh.Key: settings.Key, fresh.CA: settings.CA} {
		text, err := os.ReadFile(from)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(to, text, 0o600))
	}
	assert.NilError(t, certs.Reload())
	assert.NilError(t, call(t, client, addr))
	assert.NilError(t, os.WriteFile(settings.Certificate, []byte("broken"), 0o600))
	assert.ErrorIs(t, certs.Reload(), transport.ErrSettings)
	assert.NilError(t, call(t, client, addr))
}

func TestSettingsThatProveNothingAreRefused(t *testing.T) {
	_, _, err := transport.NewSecurity("short", transport.TLSSettings{})
	assert.ErrorContains(t, err, "cluster_secret")
	_, _, err = transport.NewSecurity("a secret of the tests", transport.TLSSettings{Certificate: "a", Key: "b"})
	assert.ErrorContains(t, err, `"ca"`)
}
