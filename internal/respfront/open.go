package respfront

import (
	"crypto/tls"
	"fmt"
	"slices"
	"strings"
	"time"

	"elderyard/internal/owner"
	"elderyard/internal/site"
	"elderyard/internal/sockets"
	"elderyard/rules"
)

// FromSite makes a front from the operator's file, for an owner whose module has these
// settings and plans. It opens no socket.
func FromSite(s site.RESP, o *owner.EventLoop, set rules.Settings, plans []string) (*Front, error) {
	accounts := map[uint64]string{}
	for _, a := range s.Account {
		id, err := site.ParseAccountID(a.ID)
		if err != nil {
			return nil, fmt.Errorf("resp.account: %w", err)
		}
		accounts[id] = a.Plan
	}
	desk, err := NewDesk(o, set, plans, accounts, s.Plan)
	if err != nil {
		return nil, fmt.Errorf("resp: %w", err)
	}
	made := Settings{Most: s.Most, Idle: time.Duration(s.Idle)}
	for _, u := range s.User {
		user, err := userOf(u)
		if err != nil {
			return nil, fmt.Errorf("resp.user %s: %w", u.Name, err)
		}
		made.Users = append(made.Users, user)
	}
	if made.TLS, err = serverTLS(s); err != nil {
		return nil, fmt.Errorf("resp: %w", err)
	}
	return New(desk, made), nil
}

func userOf(u site.RESPUser) (User, error) {
	hash, err := ParseHash(u.Password)
	if err != nil {
		return User{}, fmt.Errorf("password_sha256: %w", err)
	}
	made := User{Name: u.Name, Password: hash, Accounts: []uint64{}, Commands: []string{}}
	if slices.Contains(u.Accounts, "*") {
		made.Accounts = nil
	} else {
		for _, text := range u.Accounts {
			id, err := site.ParseAccountID(text)
			if err != nil {
				return User{}, fmt.Errorf("accounts: %w", err)
			}
			made.Accounts = append(made.Accounts, id)
		}
	}
	if slices.Contains(u.Commands, "*") {
		made.Commands = nil
		return made, nil
	}
	for _, name := range u.Commands {
		name = strings.ToUpper(name)
		if c := find(name); c == nil || !c.limit {
			return User{}, fmt.Errorf("commands: %q is no limit command", name)
		}
		made.Commands = append(made.Commands, name)
	}
	return made, nil
}

func serverTLS(s site.RESP) (*tls.Config, error) {
	if s.Cert == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.Cert, s.Key)
	if err != nil {
		return nil, fmt.Errorf("cert: %w", err)
	}
	made := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	if s.CA != "" {
		if made.ClientCAs, err = sockets.LoadCertPool(s.CA); err != nil {
			return nil, err
		}
		made.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return made, nil
}
