package transport

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
)

// The handshake is a mutual challenge and response with HMAC-SHA256 (RFC 2104)
// over both sides' nonces. The secret never crosses the wire, and a recorded
// handshake is of no use, because each side's nonce is new.
const nonceLen = 32

func handshakeMAC(secret []byte, side string, server, client []byte) []byte {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte(side))
	m.Write(server)
	m.Write(client)
	return m.Sum(nil)
}

func answerHandshake(conn net.Conn, secret []byte) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	server := make([]byte, nonceLen)
	if _, err := rand.Read(server); err != nil {
		return merry.Prepend(ErrHandshake, err.Error())
	}
	if _, err := conn.Write(server); err != nil {
		return merry.Prepend(ErrHandshake, err.Error())
	}
	hello := make([]byte, nonceLen+sha256.Size)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return merry.Prepend(ErrHandshake, err.Error())
	}
	client, mac := hello[:nonceLen], hello[nonceLen:]
	if !hmac.Equal(mac, handshakeMAC(secret, "client", server, client)) {
		return ErrHandshake
	}
	if _, err := conn.Write(handshakeMAC(secret, "server", server, client)); err != nil {
		return merry.Prepend(ErrHandshake, err.Error())
	}
	return conn.SetDeadline(time.Time{})
}

func startHandshake(conn net.Conn, secret []byte) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	server := make([]byte, nonceLen)
	if _, err := io.ReadFull(conn, server); err != nil {
		return merry.Prepend(ErrDial, err.Error())
	}
	client := make([]byte, nonceLen)
	if _, err := rand.Read(client); err != nil {
		return merry.Prepend(ErrDial, err.Error())
	}
	hello := append(client[:nonceLen:nonceLen], handshakeMAC(secret, "client", server, client)...)
	if _, err := conn.Write(hello); err != nil {
		return merry.Prepend(ErrDial, err.Error())
	}
	mac := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, mac); err != nil {
		return merry.Prepend(ErrHandshake, err.Error())
	}
	if !hmac.Equal(mac, handshakeMAC(secret, "server", server, client)) {
		return ErrHandshake
	}
	return conn.SetDeadline(time.Time{})
}
