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
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

type echoService struct {
	wire.DRPCDirectoryUnimplementedServer
}

func (*echoService) Announce(_ context.Context, a *wire.Announcement) (*wire.AnnounceReply, error) {
	if a.Id == "unexpected" {
		panic("unexpected message")
	}
	return &wire.AnnounceReply{LeaseMs: a.LeaseMs}, nil
}

// A handler that panics fails its own call; the server goes on serving others.
func TestPanickingHandlerFailsItsCallOnly(t *testing.T) {
	sec := secretOnly("one cluster's secret")
	addr := startServer(t, sec)
	p := transport.NewPool(sec)
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := wire.NewDRPCDirectoryClient(p.Conn(ctx, addr)).Announce(ctx, &wire.Announcement{Id: "unexpected"})
	assert.Assert(t, err != nil)
	assert.NilError(t, callServer(t, sec, addr))
}

func startServer(t *testing.T, sec transport.Security) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := transport.NewServer(sec)
	assert.NilError(t, wire.DRPCRegisterDirectory(s.Mux, &echoService{}))
	go s.Serve(context.Background(), lis)
	t.Cleanup(func() { _ = lis.Close(); s.Close() })
	return lis.Addr().String()
}

func callServer(t *testing.T, sec transport.Security, addr string) error {
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

func secretOnly(s string) transport.Security { return transport.Security{Secret: []byte(s)} }

// A client with the secret of another cluster gets no reply.
func TestClientWithAnotherSecretIsRefused(t *testing.T) {
	addr := startServer(t, secretOnly("one cluster's secret"))
	assert.NilError(t, callServer(t, secretOnly("one cluster's secret"), addr))
	assert.Assert(t, callServer(t, secretOnly("another cluster's one"), addr) != nil)
}

// A client that sends garbage, nothing or an invalid handshake is disconnected; the
// server goes on serving its peers.
func TestGarbageInPlaceOfHandshakeIsDropped(t *testing.T) {
	sec := secretOnly("one cluster's secret")
	addr := startServer(t, sec)
	for _, garbage := range []string{"", "GET / HTTP/1.1\r\n\r\n", string(make([]byte, 64)), string(make([]byte, 100_000))} {
		conn, err := net.Dial("tcp", addr)
		assert.NilError(t, err)
		_, _ = conn.Write([]byte(garbage))
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}
	assert.NilError(t, callServer(t, sec, addr))
}

// testCA issues certificates and writes them to dir.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newTestCA(t *testing.T) *testCA {
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
	a := &testCA{cert, key, t.TempDir()}
	a.writePEM(t, "ca.pem", "CERTIFICATE", der)
	return a
}

func (a *testCA) writePEM(t *testing.T, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(a.dir, name)
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// issue writes a key pair for 127.0.0.1 and returns TLS settings that name its files.
func (a *testCA) issue(t *testing.T, name string) transport.TLSSettings {
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
		Certificate: a.writePEM(t, name+".pem", "CERTIFICATE", der),
		Key:         a.writePEM(t, name+".key", "EC PRIVATE KEY", keyDER),
		CA:          filepath.Join(a.dir, "ca.pem"),
	}
}

func newSecurity(t *testing.T, s transport.TLSSettings) (transport.Security, *transport.Certificates) {
	t.Helper()
	sec, certs, err := transport.NewSecurity("a secret of the tests", s)
	assert.NilError(t, err)
	return sec, certs
}

// With TLS, clients and servers with a certificate of another CA are refused, and so
// are clients in plain text.
func TestOnlyCertificatesOfTheClusterCAAreAccepted(t *testing.T) {
	clusterCA, otherCA := newTestCA(t), newTestCA(t)
	server, _ := newSecurity(t, clusterCA.issue(t, "server"))
	client, _ := newSecurity(t, clusterCA.issue(t, "client"))
	stranger, _ := newSecurity(t, otherCA.issue(t, "stranger"))
	addr := startServer(t, server)
	assert.NilError(t, callServer(t, client, addr))
	assert.Assert(t, callServer(t, stranger, addr) != nil)
	assert.Assert(t, callServer(t, secretOnly("in plain text, with some secret"), addr) != nil)
	assert.Assert(t, callServer(t, client, startServer(t, stranger)) != nil)
}

// After a reload, new connections use the new CA and certificate; a reload of invalid
// files keeps the previous ones.
func TestReloadedCertificatesAreUsed(t *testing.T) {
	oldCA, newCA := newTestCA(t), newTestCA(t)
	settings := oldCA.issue(t, "server")
	server, certs := newSecurity(t, settings)
	addr := startServer(t, server)
	client, _ := newSecurity(t, newCA.issue(t, "client"))
	assert.Assert(t, callServer(t, client, addr) != nil)
	fresh := newCA.issue(t, "server")
	for from, to := range map[string]string{fresh.Certificate: settings.Certificate, fresh.Key: settings.Key, fresh.CA: settings.CA} {
		text, err := os.ReadFile(from)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(to, text, 0o600))
	}
	assert.NilError(t, certs.Reload())
	assert.NilError(t, callServer(t, client, addr))
	assert.NilError(t, os.WriteFile(settings.Certificate, []byte("broken"), 0o600))
	assert.ErrorIs(t, certs.Reload(), transport.ErrSettings)
	assert.NilError(t, callServer(t, client, addr))
}

func TestNewSecurityRefusesIncompleteSettings(t *testing.T) {
	_, _, err := transport.NewSecurity("short", transport.TLSSettings{})
	assert.ErrorContains(t, err, "cluster_secret")
	_, _, err = transport.NewSecurity("a secret of the tests", transport.TLSSettings{Certificate: "a", Key: "b"})
	assert.ErrorContains(t, err, `"ca"`)
}

// failingListener returns an error from its first Accept, as a process without free file
// descriptors gets.
type failingListener struct {
	net.Listener
	failed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// The process has no free file descriptor for a moment. The server must accept connections
// again after it; otherwise the process would run on without its peers.
func TestServerAcceptsAgainAfterError(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	sec := secretOnly("a secret of the tests")
	s := transport.NewServer(sec)
	assert.NilError(t, wire.DRPCRegisterDirectory(s.Mux, &echoService{}))
	ended := make(chan struct{})
	go func() {
		s.Serve(context.Background(), &failingListener{Listener: lis})
		close(ended)
	}()
	assert.NilError(t, callServer(t, sec, lis.Addr().String()))
	s.Close()
	_ = lis.Close()
	<-ended
}

// A client connects and never begins the TLS handshake. The server must close the connection
// instead of keeping it for good.
func TestSilentTLSClientIsDropped(t *testing.T) {
	server, _ := newSecurity(t, newTestCA(t).issue(t, "server"))
	conn, err := net.Dial("tcp", startServer(t, server))
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}
