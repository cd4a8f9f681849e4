package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// keySize is the length of a key, in bytes.
const keySize = 16

// Key names a request by its content, so that it is known again at any entry.
type Key [keySize]byte

// String returns the key as logs and operators write it.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// ParseKey reads a key as String writes it.
func ParseKey(text string) (Key, error) {
	var k Key
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != keySize {
		return k, ErrKey
	}
	copy(k[:], data)
	return k, nil
}

// Hint is a cheap hash of a request without its body's content. Requests with the same key
// have the same hint; most others don't, so that their bodies need not be hashed.
type Hint uint64

// Request is what makes a request the same as an earlier one. Its ID, its deadline and its
// other headers don't: they differ each time that a caller sends it.
type Request struct {
	// Team is the caller's team, whichever of its keys it showed; empty for anonymous ones.
	Team              string
	Method, Host, URI string
	Body              []byte
}

// Hint hashes all but the body's content.
func (r *Request) Hint() Hint {
	h := xxhash.New()
	var size [8]byte
	for _, part := range r.texts() {
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:])
		_, _ = h.WriteString(part)
	}
	binary.LittleEndian.PutUint64(size[:], uint64(len(r.Body)))
	_, _ = h.Write(size[:])
	return Hint(h.Sum64())
}

// Key hashes the whole request. The hash is a cryptographic one: with another, a caller could
// make a request that passes for somebody else's, and have that refused.
func (r *Request) Key() Key {
	h := sha256.New()
	var size [8]byte
	for _, part := range r.texts() {
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	h.Write(r.Body)
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// Subject is the request as others are told of it; it hashes the body.
func (r *Request) Subject(route string) Subject {
	return Subject{Key: r.Key(), Hint: r.Hint(), Team: r.Team, Route: route}
}

func (r *Request) texts() [4]string { return [4]string{r.Team, r.Method, r.Host, r.URI} }
