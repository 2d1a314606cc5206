package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	longBody      = 6 << 20
	receiveBuffer = 64 << 10 // of a backend's connection
)

// longSite is backends of which the one that gets a long body first falls silent with the body on its way: it reads and
// answers nothing more, and resets its connections when it is back.
type longSite struct {
	rig     *rig
	downFor time.Duration
	fallen  atomic.Bool // one of them has fallen silent
}

// serveLong starts backends and returns their entries.
func (s *longSite) serveLong(count int) (list []instance, err error) {
	for n := range count {
		l, err := s.rig.listen()
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("s-%02d", n)
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go s.serve(name, conn)
			}
		}()
		list = append(list, instance{ID: name, HostPort: l.Addr().String(), Zone: "block-a", Type: "std-2core", Cell: n / 4, Lifecycle: "Ready", Weight: 1})
	}
	return list, nil
}

// serve serves one connection of a backend.
func (s *longSite) serve(name string, conn net.Conn) {
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(receiveBuffer) // larger ones may hold the whole body
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Correlation-Id")
		if s.rig.trouble && s.fallen.CompareAndSwap(false, true) {
			read, _ := io.CopyN(io.Discard, request.Body, 256<<10)
			s.rig.say("%s has read %d bytes of the body of %s and falls silent", name, read, id)
			time.Sleep(s.downFor)
			conn.(*net.TCPConn).SetLinger(0)
			s.rig.say("%s is back and resets the connection", name)
			return
		}
		read, err := io.Copy(io.Discard, request.Body)
		if err != nil {
			return
		}
		s.rig.say("%s has read all %d bytes of the body of %s", name, read, id)
		text := "served " + id
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

// playSilentBackend has the backend of a long request fall silent while the body is on its way.
func playSilentBackend(r *rig) error {
	const (
		timeLeft = 3 * time.Second
		slack    = 550 * time.Millisecond // half a second in which an answer only earns nothing, and 50 ms
		downFor  = 12 * time.Second
	)
	list, err := (&longSite{rig: r, downFor: downFor}).serveLong(8)
	if err != nil {
		return err
	}
	discovery, err := r.serveDiscovery(list)
	if err != nil {
		return err
	}
	_, counter, err := r.serveCounter(nil)
	if err != nil {
		return err
	}
	gateway, err := r.startGateway("g0", discovery.address, counter, "", settings(0, 1, plan{"name": "basic", "unitsPerS": 4.0, "depth": 10.0, "pays": 0.45}))
	if err != nil {
		return err
	}
	conn, err := net.DialTimeout("tcp", gateway.address, 2*time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	head := strings.Replace(booking("long", fmt.Sprintf("Content-Length: %d\r\n", longBody)), "Transfer-Encoding: chunked\r\n", "", 1)
	conn.SetDeadline(time.Now().Add(downFor + 20*time.Second))
	began := time.Now()
	if _, err := io.WriteString(conn, head+strings.Repeat("b", longBody)); err != nil {
		return err
	}
	written := time.Now()
	if written.Sub(began) > time.Second {
		return errors.New("the sockets of this machine do not hold the body, so the client could not write it")
	}
	r.say("the client has written the last byte of %d", longBody)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	took := time.Since(written)
	if err != nil {
		r.say("the client's connection ends without an answer after %v: %v", took, err)
	} else {
		r.say("the client is answered %d after %v", response.StatusCode, took)
		if !r.trouble && response.StatusCode != http.StatusOK {
			return errors.New("a long booking is not served")
		}
	}
	r.say("rule: one answer within %v of the last byte", timeLeft+slack)
	if err != nil || took > timeLeft+slack {
		return errBroken
	}
	return nil
}
