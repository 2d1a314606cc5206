// Package respfront is the server for limit commands, which clients send over RESP.
// Package rules decides which units are granted, in the module of an event loop, as it does
// for the units of requests. Package limits deduplicates takes and refunds with a token.
package respfront

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"slices"
)

// User is a user with its permissions.
type User struct {
	Name     string
	Password [sha256.Size]byte // SHA-256
	Accounts []uint64          // nil: all
	Commands []string          // upper case; nil: all
}

// ParsePasswordHash parses the SHA-256 of a password in hexadecimal digits.
func ParsePasswordHash(text string) (hash [sha256.Size]byte, err error) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(hash) {
		return hash, fmt.Errorf("not a SHA-256 hash of 64 hexadecimal digits")
	}
	return [sha256.Size]byte(b), nil
}

// mayRun reports whether a user may run a command. A nil user, of a server without users,
// may run all.
func (u *User) mayRun(command string) bool {
	return u == nil || u.Commands == nil || slices.Contains(u.Commands, command)
}

// mayAccess reports whether a user may run commands for an account.
func (u *User) mayAccess(account uint64) bool {
	return u == nil || u.Accounts == nil || slices.Contains(u.Accounts, account)
}

// users are all users that may connect.
type users []User

// find returns the user with a name and password, or nil. Its duration doesn't depend on
// whether the name exists or on how much of the password is right.
func (list users) find(name, password string) *User {
	hash := sha256.Sum256([]byte(password))
	var found *User
	for i := range list {
		match := subtle.ConstantTimeCompare([]byte(list[i].Name), []byte(name)) & subtle.ConstantTimeCompare(list[i].Password[:], hash[:])
		if match == 1 {
			found = &list[i]
		}
	}
	return found
}
