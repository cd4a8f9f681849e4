package transport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// ErrSettings is returned for invalid TLS or secret settings.
var ErrSettings = merry.Sentinel("transport settings are invalid")

// minSecretLen is the minimum length of the cluster secret, in bytes.
const minSecretLen = 16

// TLSSettings names certificate files. TLS is off if all are empty.
type TLSSettings struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	CA          string `toml:"ca"`
}

// Enabled reports whether TLS is enabled.
func (t TLSSettings) Enabled() bool { return t.Certificate != "" || t.Key != "" || t.CA != "" }

// Certificates holds a TLS key pair and CA pool that can be reloaded while in use.
type Certificates struct {
	settings TLSSettings
	keyPair  atomic.Pointer[tls.Certificate]
	caPool   atomic.Pointer[x509.CertPool]
}

// LoadCertificates returns the certificates of the files that s names.
func LoadCertificates(s TLSSettings) (*Certificates, error) {
	c := &Certificates{settings: s}
	return c, c.Reload()
}

// Reload reads the files again. On an error the previous key pair and CA pool stay in use.
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
		c.caPool.Store(pool)
	}
	c.keyPair.Store(&pair)
	return nil
}

func (c *Certificates) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return c.keyPair.Load(), nil
}

// ServerConfig returns a server configuration that requests no client certificate.
func (c *Certificates) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.getCertificate}
}

// MutualConfigs returns the configurations for mutual TLS between processes: each side
// presents a certificate of the cluster's CA.
func (c *Certificates) MutualConfigs() (server, client *tls.Config) {
	server = &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return &tls.Config{
				MinVersion:     tls.VersionTLS13,
				GetCertificate: c.getCertificate,
				ClientAuth:     tls.RequireAndVerifyClientCert,
				ClientCAs:      c.caPool.Load(),
			}, nil
		},
	}
	client = &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.keyPair.Load(), nil
		},
		// VerifyConnection checks the chain and the host name against the CA pool
		// loaded at the time of the handshake; RootCAs couldn't be reloaded.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verifyServer,
	}
	return server, client
}

func (c *Certificates) verifyServer(cs tls.ConnectionState) error {
	opts := x509.VerifyOptions{Roots: c.caPool.Load(), DNSName: cs.ServerName, Intermediates: x509.NewCertPool()}
	for _, cert := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return err
}

// NewSecurity returns the Security between processes and, with TLS, its certificates.
// Without TLS, connections are plain text and peers prove that they know the secret.
// The secret is required in both cases: explanation tokens are signed with it.
func NewSecurity(secret string, t TLSSettings) (Security, *Certificates, error) {
	if len(strings.TrimSpace(secret)) < minSecretLen {
		return Security{}, nil, merry.Prependf(ErrSettings, "key \"cluster_secret\": at least %d characters are needed", minSecretLen)
	}
	if t.Enabled() {
		if t.CA == "" {
			return Security{}, nil, merry.Prepend(ErrSettings, "key \"ca\" is needed between processes")
		}
		certs, err := LoadCertificates(t)
		if err != nil {
			return Security{}, nil, err
		}
		sec := Security{Secret: []byte(secret)}
		sec.Server, sec.Client = certs.MutualConfigs()
		return sec, certs, nil
	}
	return Security{Secret: []byte(secret)}, nil, nil
}
