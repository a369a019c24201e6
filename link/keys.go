package link

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// Role is the role that a key grants.
type Role int

const (
	// RoleNone means that the key is wrong.
	RoleNone Role = iota
	// RolePeer is another VM.
	RolePeer
	// RoleOperator is an operator's tool.
	RoleOperator
)

// Keys are the keys that a VM accepts.
type Keys struct {
	Peer     string
	Operator string
}

// Role returns the role that the key of a request grants. The comparison takes constant
// time, so that a key cannot be guessed byte by byte.
func (k Keys) Role(r *http.Request) Role {
	given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	peer := KeysEqual(given, k.Peer)
	operator := KeysEqual(given, k.Operator)
	switch {
	case peer:
		return RolePeer
	case operator:
		return RoleOperator
	}
	return RoleNone
}

// KeysEqual reports whether a given key is the wanted one, which must not be empty. It takes constant time.
func KeysEqual(given, want string) bool {
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(want))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1 && want != ""
}
