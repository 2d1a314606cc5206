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

// FromSite returns a server with the settings of the site file, for an event loop
// whose module has the settings set and plans of these names. It opens no socket.
func FromSite(respSettings site.RESP, loop *owner.EventLoop, set rules.Settings, plans []string, stop StopTimeouts) (*Server, error) {
	accounts := map[uint64]string{}
	for _, a := range respSettings.Account {
		id, err := site.ParseAccountID(a.ID)
		if err != nil {
			return nil, fmt.Errorf("resp.account: %w", err)
		}
		accounts[id] = a.Plan
	}
	limiter, err := NewLimiter(loop, set, plans, accounts, respSettings.Plan)
	if err != nil {
		return nil, fmt.Errorf("resp: %w", err)
	}
	settings := Settings{MaxConnections: respSettings.Most, IdleTimeout: time.Duration(respSettings.Idle), Stop: stop}
	for _, u := range respSettings.User {
		user, err := newUser(u)
		if err != nil {
			return nil, fmt.Errorf("resp.user %s: %w", u.Name, err)
		}
		settings.Users = append(settings.Users, user)
	}
	if settings.TLS, err = serverTLS(respSettings); err != nil {
		return nil, fmt.Errorf("resp: %w", err)
	}
	return New(limiter, settings), nil
}

func newUser(settings site.RESPUser) (User, error) {
	hash, err := ParsePasswordHash(settings.Password)
	if err != nil {
		return User{}, fmt.Errorf("password_sha256: %w", err)
	}
	user := User{Name: settings.Name, Password: hash, Accounts: []uint64{}, Commands: []string{}}
	if slices.Contains(settings.Accounts, "*") {
		user.Accounts = nil
	} else {
		for _, text := range settings.Accounts {
			id, err := site.ParseAccountID(text)
			if err != nil {
				return User{}, fmt.Errorf("accounts: %w", err)
			}
			user.Accounts = append(user.Accounts, id)
		}
	}
	if slices.Contains(settings.Commands, "*") {
		user.Commands = nil
		return user, nil
	}
	for _, name := range settings.Commands {
		name = strings.ToUpper(name)
		if c := lookupCommand(name); c == nil || !c.limit {
			return User{}, fmt.Errorf("commands: %q is not a limit command", name)
		}
		user.Commands = append(user.Commands, name)
	}
	return user, nil
}

// serverTLS returns the TLS configuration, or nil for plain connections.
func serverTLS(respSettings site.RESP) (*tls.Config, error) {
	if respSettings.Cert == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(respSettings.Cert, respSettings.Key)
	if err != nil {
		return nil, fmt.Errorf("cert: %w", err)
	}
	config := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	if respSettings.CA != "" {
		if config.ClientCAs, err = sockets.LoadCertPool(respSettings.CA); err != nil {
			return nil, err
		}
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}
