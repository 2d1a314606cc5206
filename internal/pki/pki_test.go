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

func pathsOf(dir, name string) Files {
	return Files{filepath.Join(dir, "ca.pem"), filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem")}
}

func site(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "ca")
	must(t, Init(dir))
	for name, role := range map[string]Role{"a1": Agent, "ann": Operator, "vic": Viewer} {
		must(t, Issue(dir, name, role, 30))
	}
	return dir
}

// meet has two ends shake hands and returns what each says, and who called.
func meet(t *testing.T, server, client *tls.Config) (name string, role Role, atServer, atClient error) {
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
		end := tls.Server(c, server)
		if err = end.Handshake(); err == nil {
			name, role, err = Identity(end.ConnectionState().PeerCertificates[0])
			end.Write([]byte("x"))
		}
		done <- err
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	must(t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Minute))
	_, atClient = tls.Client(c, client).Read(make([]byte, 1)) // in TLS 1.3 a refusal comes with the first read
	return name, role, <-done, atClient
}

func TestBothEndsAreOfTheSite(t *testing.T) {
	dir, other := site(t), site(t)
	server, err := pathsOf(dir, "a1").ServerConfig()
	must(t, err)
	ann, err := pathsOf(dir, "ann").ClientConfig()
	must(t, err)
	name, role, a, b := meet(t, server, ann)
	if a != nil || b != nil || name != "ann" || role != Operator {
		t.Fatalf("%v %v %s %s", a, b, name, role)
	}
	stranger, err := pathsOf(other, "ann").ClientConfig()
	must(t, err)
	if _, _, a, b := meet(t, server, stranger); a == nil || b == nil {
		t.Fatalf("a certificate of another site was taken: %v %v", a, b)
	}
	if _, _, a, _ := meet(t, server, &tls.Config{InsecureSkipVerify: true}); a == nil {
		t.Fatal("one without a certificate was taken")
	}
	// An operator's certificate is none for an agent.
	false1, err := pathsOf(dir, "ann").ServerConfig()
	must(t, err)
	if _, _, _, b := meet(t, false1, ann); b == nil {
		t.Fatal("an operator was taken for an agent")
	}
}

func TestARenewedCertificateIsUsedWithoutAStart(t *testing.T) {
	dir := site(t)
	server, err := pathsOf(dir, "a1").ServerConfig()
	must(t, err)
	first, err := server.GetCertificate(nil)
	must(t, err)
	must(t, Renew(dir, "a1", 60))
	later := time.Now().Add(time.Minute)
	must(t, os.Chtimes(filepath.Join(dir, "a1.pem"), later, later)) // file systems have coarse clocks
	second, err := server.GetCertificate(nil)
	must(t, err)
	if string(first.Certificate[0]) == string(second.Certificate[0]) {
		t.Fatal("the old one is still shown")
	}
	must(t, os.WriteFile(filepath.Join(dir, "a1.pem"), []byte("x"), 0o600))
	if third, err := server.GetCertificate(nil); err != nil || string(third.Certificate[0]) != string(second.Certificate[0]) {
		t.Fatalf("a spoilt file took the good one's place: %v", err)
	}
	if c, _ := readCertificate(filepath.Join(dir, "ann.pem")); c == nil {
		t.Fatal("ann's is gone")
	}
}

func TestWhatIsRefused(t *testing.T) {
	dir := site(t)
	for want, err := range map[string]error{
		"there is an authority already": Init(dir),
		"renew it":                      Issue(dir, "ann", Viewer, 30),
		`role "king" is not known`:      Issue(dir, "bob", "king", 30),
		"0 days":                        Issue(dir, "bob", Viewer, 0),
		"no such file":                  Renew(dir, "nobody", 30),
		"authority":                     func() error { _, err := Files{}.ClientConfig(); return err }(),
		"certificate:":                  func() error { _, err := pathsOf(dir, "nobody").ServerConfig(); return err }(),
	} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
	if info, err := os.Stat(filepath.Join(dir, "ca-key.pem")); err != nil || info.Mode().Perm() != 0o600 {
		t.Fatalf("%v %v", err, info.Mode())
	}
}

func TestRoles(t *testing.T) {
	for _, c := range []struct {
		have, need Role
		may        bool
	}{{Viewer, Viewer, true}, {Viewer, Operator, false}, {Operator, Viewer, true}, {Operator, Agent, false}, {Agent, Operator, true}, {"", Viewer, false}, {Agent, "", false}} {
		if c.have.Covers(c.need) != c.may {
			t.Errorf("%s for %s", c.have, c.need)
		}
	}
}
