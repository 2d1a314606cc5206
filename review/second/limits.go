package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// limitClient is a connection of an app that asks for units by limit commands.
type limitClient struct {
	rig    *rig
	name   string
	conn   net.Conn
	reader *bufio.Reader
}

// dialLimits opens a connection for limit commands.
func (r *rig) dialLimits(address, name string) (*limitClient, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	r.onClose(func() { conn.Close() })
	return &limitClient{r, name, conn, bufio.NewReader(conn)}, nil
}

// send sends one command.
func (c *limitClient) send(words ...string) error {
	text := fmt.Sprintf("*%d\r\n", len(words))
	for _, word := range words {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(word), word)
	}
	c.rig.say("%s sends: %s", c.name, strings.Join(words, " "))
	_, err := io.WriteString(c.conn, text)
	return err
}

// receive reads one reply, which has to come within the time.
func (c *limitClient) receive(within time.Duration) ([]string, error) {
	c.conn.SetReadDeadline(time.Now().Add(within))
	words, err := c.readValue()
	if err != nil {
		c.rig.say("%s gets no reply: %v", c.name, err)
		return nil, err
	}
	c.rig.say("%s is told: %s", c.name, strings.Join(words, " "))
	return words, nil
}

// readValue reads a value and returns its words.
func (c *limitClient) readValue() ([]string, error) {
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return nil, err
	}
	if line = strings.TrimRight(line, "\r\n"); line == "" {
		return nil, errors.New("an empty line")
	}
	size, _ := strconv.Atoi(line[1:])
	switch line[0] {
	case '*', '%':
		if line[0] == '%' {
			size *= 2
		}
		var words []string
		for range size {
			more, err := c.readValue()
			if err != nil {
				return nil, err
			}
			words = append(words, more...)
		}
		return words, nil
	case '$':
		if size < 0 {
			return []string{"nil"}, nil
		}
		text := make([]byte, size+2)
		if _, err := io.ReadFull(c.reader, text); err != nil {
			return nil, err
		}
		return []string{string(text[:size])}, nil
	}
	return []string{line[1:]}, nil
}

// field returns a number of a reply that is a map.
func field(words []string, name string) float64 {
	for n := 0; n+1 < len(words); n += 2 {
		if words[n] == name {
			value, _ := strconv.ParseFloat(words[n+1], 64)
			return value
		}
	}
	return 0
}

// leave ends the connection.
func (c *limitClient) leave() {
	c.rig.say("%s closes its connection", c.name)
	c.conn.Close()
}

// startLimitGateway starts a site of one gateway that takes limit commands, of accounts of the given plan, and returns
// the address for the commands.
func (r *rig) startLimitGateway(limited plan) (*process, *backends, string, error) {
	b, list, err := r.serveBackends(4, func() time.Duration { return 600 * time.Millisecond })
	if err != nil {
		return nil, nil, "", err
	}
	discovery, err := r.serveDiscovery(list)
	if err != nil {
		return nil, nil, "", err
	}
	_, counter, err := r.serveCounter(nil)
	if err != nil {
		return nil, nil, "", err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, nil, "", err
	}
	g, err := r.startGateway("g0", discovery.address, counter, fmt.Sprintf("[resp]\nlisten = %q\nplan = \"basic\"\n", address), settings(0, 1, limited))
	return g, b, address, err
}

// playLimitShutdown has a planned restart come while apps wait for the replies to their commands.
func playLimitShutdown(r *rig) error {
	const (
		apps  = 4
		wait  = 1500 * time.Millisecond // for units, as the command says
		slack = 550 * time.Millisecond  // half a second in which an answer only earns nothing, and 50 ms
	)
	gateway, b, address, err := r.startLimitGateway(plan{"name": "basic", "unitsPerS": 4.0, "depth": 4.0, "pays": 0.45})
	if err != nil {
		return err
	}
	var clients []*limitClient
	for n := range apps {
		c, err := r.dialLimits(address, fmt.Sprint("app ", n))
		if err != nil {
			return err
		}
		if err := c.send("LIMIT.TAKE", accountKey(n), "4"); err != nil {
			return err
		}
		reply, err := c.receive(2 * time.Second)
		if err != nil || field(reply, "granted") != 4 {
			return fmt.Errorf("a full store grants %v, %w", reply, err)
		}
		clients = append(clients, c)
	}
	results := make([]error, apps)
	var waiting sync.WaitGroup
	for n, c := range clients {
		if err := c.send("LIMIT.TAKE", accountKey(n), "4", "WAIT", strconv.Itoa(int(wait.Milliseconds()))); err != nil {
			return err
		}
		waiting.Go(func() { _, results[n] = c.receive(wait + slack) })
	}
	control := r.newClients(b, []*process{gateway})
	waiting.Go(func() {
		control.send(gateway, account{key: accountKey(apps), plan: "basic"}, "lookup", "control")
	})
	time.Sleep(400 * time.Millisecond)
	if r.trouble {
		gateway.terminate()
	}
	waiting.Wait()
	if control.answers[http.StatusOK] != 1 {
		return fmt.Errorf("the request that was open at the same time was answered %v", control.answers)
	}
	lost := 0
	for _, err := range results {
		if err != nil {
			lost++
		}
	}
	r.say("rule: each command that was taken gets one answer within %v; %d of %d got none", wait+slack, lost, apps)
	if lost > 0 {
		return errBroken
	}
	return nil
}

// playLimitToken has an app that gives up early and asks again, under the same token, on another connection.
func playLimitToken(r *rig) error {
	const (
		burst = 10
		units = 4
		pause = 300 * time.Millisecond
	)
	_, _, address, err := r.startLimitGateway(plan{"name": "basic", "unitsPerS": 1.0, "depth": float64(burst), "pays": 0.45})
	if err != nil {
		return err
	}
	var clients []*limitClient
	for n := range 4 {
		c, err := r.dialLimits(address, fmt.Sprint("connection ", n))
		if err != nil {
			return err
		}
		clients = append(clients, c)
	}
	first, tries := clients[0], clients[1:]
	if err := first.send("LIMIT.TAKE", accountKey(0), strconv.Itoa(burst)); err != nil {
		return err
	}
	reply, err := first.receive(2 * time.Second)
	if err != nil || field(reply, "granted") != burst {
		return fmt.Errorf("a full store grants %v, %w", reply, err)
	}
	take := func(c *limitClient) error {
		return c.send("LIMIT.TAKE", accountKey(0), strconv.Itoa(units), "ID", "order-1", "WAIT", "20000")
	}
	for _, c := range tries {
		if err := take(c); err != nil {
			return err
		}
		time.Sleep(pause)
		if c == tries[1] && r.trouble {
			tries[0].leave()
			time.Sleep(pause)
			tries[1].leave()
			time.Sleep(pause)
		}
	}
	last := tries[len(tries)-1]
	if reply, err = last.receive(20 * time.Second); err != nil || field(reply, "granted") != units {
		return fmt.Errorf("the last try is told %v, %w", reply, err)
	}
	time.Sleep(2 * units * time.Second) // for what still waits
	if err := first.send("LIMIT.STATS"); err != nil {
		return err
	}
	if reply, err = first.receive(2 * time.Second); err != nil {
		return err
	}
	taken := field(reply, "units")
	r.say("rule: a token counts once: %d units and %d under the token; %g were taken", burst, units, taken)
	if taken > burst+units {
		return errBroken
	}
	return nil
}
