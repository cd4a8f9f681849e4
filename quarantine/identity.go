package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// keySize is the length of a Key in bytes.
const keySize = 16

// Key identifies a request by its content, so that any entry or gateway recognizes it when it is
// sent again.
type Key [keySize]byte

// String returns the key in hexadecimal, as in logs.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// ParseKey parses a key in the form that String returns. It returns ErrInvalidKey for other text.
func ParseKey(text string) (Key, error) {
	var k Key
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != keySize {
		return k, ErrInvalidKey
	}
	copy(k[:], data)
	return k, nil
}

// Hint is a cheap hash of a request that leaves out the content of the body. Requests with equal
// keys have equal hints, so a body has to be hashed only if the request's hint is known.
type Hint uint64

// Request holds the parts of a request that identify it when it is sent again. The request ID, the
// deadline and other headers are left out, because they differ between sends.
type Request struct {
	// Team is the caller's team, whichever of its keys was presented; empty for anonymous callers.
	Team              string
	Method, Host, URI string
	Body              []byte
}

// Hint hashes everything but the content of the body.
func (r *Request) Hint() Hint {
	h := xxhash.New()
	var size [8]byte
	for _, part := range r.hashedTexts() {
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:])
		_, _ = h.WriteString(part)
	}
	binary.LittleEndian.PutUint64(size[:], uint64(len(r.Body)))
	_, _ = h.Write(size[:])
	return Hint(h.Sum64())
}

// Key hashes the whole request. The hash is cryptographic: otherwise a caller could craft a request
// that collides with another team's and have that one quarantined.
func (r *Request) Key() Key {
	h := sha256.New()
	var size [8]byte
	for _, part := range r.hashedTexts() {
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	h.Write(r.Body)
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// Info returns the description of the request that peers exchange. It hashes the body.
func (r *Request) Info(route string) RequestInfo {
	return RequestInfo{Key: r.Key(), Hint: r.Hint(), Team: r.Team, Route: route}
}

func (r *Request) hashedTexts() [4]string { return [4]string{r.Team, r.Method, r.Host, r.URI} }
