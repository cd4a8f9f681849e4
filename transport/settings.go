package transport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// ErrSettings is returned for TLS or secret settings that can't be used.
var ErrSettings = merry.Sentinel("transport settings are invalid")

// minSecret is the shortest cluster secret that is taken, in bytes.
const minSecret = 16

// TLSSettings name certificate files; all empty turns TLS off.
type TLSSettings struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	CA          string `toml:"ca"`
}

// On says whether TLS is set.
func (t TLSSettings) On() bool { return t.Certificate != "" || t.Key != "" || t.CA != "" }

// Certificates holds a TLS key pair that can be read again while in use.
type Certificates struct {
	settings TLSSettings
	pair     atomic.Pointer[tls.Certificate]
	pool     atomic.Pointer[x509.CertPool]
}

// LoadCertificates reads the files once.
func LoadCertificates(s TLSSettings) (*Certificates, error) {
	c := &Certificates{settings: s}
	return c, c.Reload()
}

// Reload reads the files again; on an error the old ones stay in force.
func (c *Certificates) Reload() error {
	pair, err := tls.LoadX509KeyPair(c.settings.Certificate, c.settings.Key)
	if err != nil {
		return merry.Prepend(ErrSettings, err.Error())
	}
	if c.settings.CA != "" {
		text, err := os.ReadFile(c.settings.CA)
		if err != nil {
			return merry.Prepend(ErrSettings, err.Error())
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(text) {
			return merry.Prependf(ErrSettings, "key \"ca\": %s holds no certificate", c.settings.CA)
		}
		c.pool.Store(pool)
	}
	c.pair.Store(&pair)
	return nil
}

func (c *Certificates) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return c.pair.Load(), nil
}

// Public is a server's configuration that asks for no client certificate.
func (c *Certificates) Public() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.certificate}
}

// Mutual is the pair of configurations between processes: both sides show a
// certificate of the cluster's CA.
func (c *Certificates) Mutual() (server, client *tls.Config) {
	server = &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return &tls.Config{
				MinVersion:     tls.VersionTLS13,
				GetCertificate: c.certificate,
				ClientAuth:     tls.RequireAndVerifyClientCert,
				ClientCAs:      c.pool.Load(),
			}, nil
		},
	}
	client = &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.pair.Load(), nil
		},
		// The CA may be read again, so the check is made against the one in
		// force at the handshake; the host name is checked there as well.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verifyServer,
	}
	return server, client
}

func (c *Certificates) verifyServer(cs tls.ConnectionState) error {
	opts := x509.VerifyOptions{Roots: c.pool.Load(), DNSName: cs.ServerName, Intermediates: x509.NewCertPool()}
	for _, cert := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return err
}

// NewSecurity makes the security between processes from settings. Plain text
// with a secret is used only where no TLS is set. The secret is needed in both
// cases: explanation tokens are signed with it.
func NewSecurity(secret string, t TLSSettings) (Security, *Certificates, error) {
	if len(strings.TrimSpace(secret)) < minSecret {
		return Security{}, nil, merry.Prependf(ErrSettings, "key \"cluster_secret\": at least %d characters are needed", minSecret)
	}
	if t.On() {
		if t.CA == "" {
			return Security{}, nil, merry.Prepend(ErrSettings, "key \"ca\" is needed between processes")
		}
		certs, err := LoadCertificates(t)
		if err != nil {
			return Security{}, nil, err
		}
		sec := Security{Secret: []byte(secret)}
		sec.Server, sec.Client = certs.Mutual()
		return sec, certs, nil
	}
	return Security{Secret: []byte(secret)}, nil, nil
}
