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

// nonceLen is the length of a handshake nonce, in bytes. The handshake is a mutual
// challenge-response with HMAC-SHA256 (RFC 2104) over both sides' nonces. The secret is
// never sent, and fresh nonces prevent replay.
const nonceLen = 32

func handshakeMAC(secret []byte, side string, serverNonce, clientNonce []byte) []byte {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte(side))
	m.Write(serverNonce)
	m.Write(clientNonce)
	return m.Sum(nil)
}

func serverHandshake(conn net.Conn, secret []byte) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	serverNonce := make([]byte, nonceLen)
	if _, err := rand.Read(serverNonce); err != nil {
		return merry.Prepend(ErrHandshake, err.Error())
	}
	if _, err := conn.Write(serverNonce); err != nil {
		return merry.Prepend(ErrHandshake, err.Error())
	}
	hello := make([]byte, nonceLen+sha256.Size)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return merry.Prepend(ErrHandshake, err.Error())
	}
	clientNonce, mac := hello[:nonceLen], hello[nonceLen:]
	if !hmac.Equal(mac, handshakeMAC(secret, "client", serverNonce, clientNonce)) {
		return ErrHandshake
	}
	if _, err := conn.Write(handshakeMAC(secret, "server", serverNonce, clientNonce)); err != nil {
		return merry.Prepend(ErrHandshake, err.Error())
	}
	return conn.SetDeadline(time.Time{})
}

func clientHandshake(conn net.Conn, secret []byte) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	serverNonce := make([]byte, nonceLen)
	if _, err := io.ReadFull(conn, serverNonce); err != nil {
		return merry.Prepend(ErrDial, err.Error())
	}
	clientNonce := make([]byte, nonceLen)
	if _, err := rand.Read(clientNonce); err != nil {
		return merry.Prepend(ErrDial, err.Error())
	}
	hello := append(clientNonce[:nonceLen:nonceLen], handshakeMAC(secret, "client", serverNonce, clientNonce)...)
	if _, err := conn.Write(hello); err != nil {
		return merry.Prepend(ErrDial, err.Error())
	}
	mac := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, mac); err != nil {
		return merry.Prepend(ErrHandshake, err.Error())
	}
	if !hmac.Equal(mac, handshakeMAC(secret, "server", serverNonce, clientNonce)) {
		return ErrHandshake
	}
	return conn.SetDeadline(time.Time{})
}
