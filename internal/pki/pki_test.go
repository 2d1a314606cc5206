package pki

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// filesOf returns the files of a name's certificate in an authority's directory.
func filesOf(dir, name string) Files {
	return Files{filepath.Join(dir, "ca.pem"), filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem")}
}

// newAuthority returns the directory of an authority that has issued one certificate of each role.
func newAuthority(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "ca")
	must(t, Init(dir))
	for name, role := range map[string]Role{"a1": Agent, "ann": Operator, "vic": Viewer} {
		must(t, Issue(dir, name, role, 30))
	}
	return dir
}

// handshake connects a client to a server, and returns the client's identity and the error of each side.
func handshake(t *testing.T, server, client *tls.Config) (name string, role Role, serverErr, clientErr error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	defer l.Close()
	done := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			done <- err
			return
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(time.Minute))
		conn := tls.Server(c, server)
		if err = conn.Handshake(); err == nil {
			name, role, err = Identity(conn.ConnectionState().PeerCertificates[0])
			conn.Write([]byte("x"))
		}
		done <- err
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	must(t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Minute))
	_, clientErr = tls.Client(c, client).Read(make([]byte, 1)) // in TLS 1.3 the client sees a rejection at the first read
	return name, role, <-done, clientErr
}

// TestMutualTLSWithinSite: a server accepts a client of its site. Connections with a certificate of another site's
// authority or without a certificate fail, and so does a client's connection to a server that is no agent.
func TestMutualTLSWithinSite(t *testing.T) {
	dir, other := newAuthority(t), newAuthority(t)
	server, err := filesOf(dir, "a1").ServerConfig()
	must(t, err)
	ann, err := filesOf(dir, "ann").ClientConfig()
	must(t, err)
	name, role, serverErr, clientErr := handshake(t, server, ann)
	if serverErr != nil || clientErr != nil || name != "ann" || role != Operator {
		t.Fatalf("%v %v %s %s", serverErr, clientErr, name, role)
	}
	foreignClient, err := filesOf(other, "ann").ClientConfig()
	must(t, err)
	if _, _, serverErr, clientErr := handshake(t, server, foreignClient); serverErr == nil || clientErr == nil {
		t.Fatalf("a certificate of another site was accepted: %v %v", serverErr, clientErr)
	}
	if _, _, serverErr, _ := handshake(t, server, &tls.Config{InsecureSkipVerify: true}); serverErr == nil {
		t.Fatal("a client without a certificate was accepted")
	}
	// An operator's certificate must not authenticate a server.
	operatorServer, err := filesOf(dir, "ann").ServerConfig()
	must(t, err)
	if _, _, _, clientErr := handshake(t, operatorServer, ann); clientErr == nil {
		t.Fatal("a server with an operator's certificate was accepted")
	}
}

// TestRenewedCertificateIsReloaded: a renewed certificate is served without a restart, and an invalid file does not
// replace the certificate that is in use.
func TestRenewedCertificateIsReloaded(t *testing.T) {
	dir := newAuthority(t)
	server, err := filesOf(dir, "a1").ServerConfig()
	must(t, err)
	first, err := server.GetCertificate(nil)
	must(t, err)
	must(t, Renew(dir, "a1", 60))
	later := time.Now().Add(time.Minute)
	must(t, os.Chtimes(filepath.Join(dir, "a1.pem"), later, later)) // file systems record times coarsely
	second, err := server.GetCertificate(nil)
	must(t, err)
	if string(first.Certificate[0]) == string(second.Certificate[0]) {
		t.Fatal("the previous certificate is still served")
	}
	must(t, os.WriteFile(filepath.Join(dir, "a1.pem"), []byte("x"), 0o600))
	if third, err := server.GetCertificate(nil); err != nil || string(third.Certificate[0]) != string(second.Certificate[0]) {
		t.Fatalf("an invalid file replaced the certificate: %v", err)
	}
	if c, _ := readCertificate(filepath.Join(dir, "ann.pem")); c == nil {
		t.Fatal("the renewal removed the certificate of ann")
	}
}

// TestInvalidRequestsAreErrors: each error names its cause, and the authority's key is readable for its owner alone.
func TestInvalidRequestsAreErrors(t *testing.T) {
	dir := newAuthority(t)
	for want, err := range map[string]error{
		"there is an authority already": Init(dir),
		"renew it":                      Issue(dir, "ann", Viewer, 30),
		`role "king" is not known`:      Issue(dir, "bob", "king", 30),
		"0 days":                        Issue(dir, "bob", Viewer, 0),
		"no such file":                  Renew(dir, "nobody", 30),
		"authority":                     func() error { _, err := Files{}.ClientConfig(); return err }(),
		"certificate:":                  func() error { _, err := filesOf(dir, "nobody").ServerConfig(); return err }(),
	} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
	if info, err := os.Stat(filepath.Join(dir, "ca-key.pem")); err != nil || info.Mode().Perm() != 0o600 {
		t.Fatalf("%v %v", err, info.Mode())
	}
}

// TestRoleCovers: a role has the permissions of lower roles, and an unknown role has none.
func TestRoleCovers(t *testing.T) {
	for _, c := range []struct {
		have, needed Role
		want         bool
	}{{Viewer, Viewer, true}, {Viewer, Operator, false}, {Operator, Viewer, true}, {Operator, Agent, false}, {Agent, Operator, true}, {"", Viewer, false}, {Agent, "", false}} {
		if c.have.Covers(c.needed) != c.want {
			t.Errorf("%q covers %q: %v, want %v", c.have, c.needed, !c.want, c.want)
		}
	}
}
