// Package respfront answers limit commands over RESP. What is granted is decided
// by package rules through the module's owner, like a request's units; which takes and gives with
// a token count is decided by package limits.
package respfront

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"slices"
)

// User may run some commands for some accounts.
type User struct {
	Name     string
	Password [sha256.Size]byte // its SHA-256
	Accounts []uint64          // nil: all
	Commands []string          // upper case; nil: all
}

// ParseHash reads the SHA-256 of a password in hexadecimal digits.
func ParseHash(text string) (h [sha256.Size]byte, err error) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(h) {
		return h, fmt.Errorf("it is not the SHA-256 of a password in 64 hexadecimal digits")
	}
	return [sha256.Size]byte(b), nil
}

// may tells whether a user may run a command. A nil user is one where none are set.
func (u *User) may(command string) bool {
	return u == nil || u.Commands == nil || slices.Contains(u.Commands, command)
}

// owns tells whether a user may ask for an account.
func (u *User) owns(account uint64) bool {
	return u == nil || u.Accounts == nil || slices.Contains(u.Accounts, account)
}

// users are all that may connect.
type users []User

// find returns the user of that name and password. It takes as long for a name
// that is not there, or a password that is wrong early or late.
func (list users) find(name, password string) *User {
	given := sha256.Sum256([]byte(password))
	var found *User
	for i := range list {
		same := subtle.ConstantTimeCompare([]byte(list[i].Name), []byte(name)) & subtle.ConstantTimeCompare(list[i].Password[:], given[:])
		if same == 1 {
			found = &list[i]
		}
	}
	return found
}
