// Wirehost runs the decision modules of many gateways for the simulator: it reads batches
// of events from standard input and writes one reply for each to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"elderyard/internal/wire"
	"elderyard/rules"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// instance is one gateway.
type instance struct {
	settings rules.Settings
	gateway  *rules.Gateway // nil while the instance is stopped
	actions  []rules.Action
	inReply  bool // the order of the current reply has it
}

// host is the instances. They are independent: none sees the events of another.
type host struct {
	instances map[uint32]*instance
	order     []uint32 // instances with events in this batch
}

// serve answers each batch until the input ends.
func serve(in io.Reader, out io.Writer) error {
	decoder := wire.NewDecoder(bufio.NewReaderSize(in, 1<<16))
	w := bufio.NewWriter(out)
	h := host{instances: map[uint32]*instance{}}
	var reply wire.Reply
	for {
		batch, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.run(batch, &reply); err != nil {
			return fmt.Errorf("batch %d: %w", batch.Seq, err)
		}
		if _, err := w.Write(reply.Bytes()); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// run passes a batch to its instances and fills the reply.
func (h *host) run(b wire.Batch, reply *wire.Reply) error {
	reply.Reset(b.Seq)
	h.order = h.order[:0]
	for _, rec := range b.Records {
		if err := h.record(b.Now, rec); err != nil {
			return err
		}
	}
	for _, number := range h.order {
		i := h.instances[number]
		i.inReply = false
		if err := reply.Add(number, i.actions); err != nil {
			return err
		}
	}
	return nil
}

// record applies one record to its instance.
func (h *host) record(now float64, rec wire.Record) error {
	i := h.instances[rec.Gateway]
	if i == nil {
		if rec.Start == nil {
			return fmt.Errorf("instance %d has not started", rec.Gateway)
		}
		i = &instance{}
		h.instances[rec.Gateway] = i
	}
	if !i.inReply {
		i.inReply, i.actions = true, i.actions[:0]
		h.order = append(h.order, rec.Gateway)
	}
	switch {
	case rec.Start != nil:
		i.settings = rec.Start.Settings
		i.actions = i.actions[:0]
		i.gateway, i.actions = rules.New(rec.Start.Settings, rec.Start.Seed, now, i.actions)
	case rec.Stop:
		i.gateway, i.actions = nil, i.actions[:0]
	case i.gateway != nil: // events for a stopped instance are ignored
		if r, ok := rec.Event.(rules.Request); ok {
			if r.Class >= len(i.settings.Classes) || r.Plan >= len(i.settings.Plans) {
				return fmt.Errorf("request %d: no such class or plan in the settings", r.ID)
			}
		}
		i.actions = i.gateway.Handle(now, rec.Event, i.actions)
	}
	return nil
}
