// Package wire translates between the simulator's binary frames and the events
// and actions of package rules. It converts names and units and decides nothing.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"elderyard/rules"
)

// Codes of the records in a batch. A comment has the protocol's name where it differs.
const (
	codeAttach      = 16
	codeSync        = 17
	codeRequest     = 18 // Ask
	codeEstablished = 19
	codeAttemptEnd  = 20
	codeAborted     = 21
	codeTimer       = 22 // Alarm
	codeProbed      = 23 // Checked
	codePeerData    = 24
	codeTeardown    = 25
	codeCounter     = 26
	codeManifest    = 27
	codeInstance    = 28 // For
)

const (
	batchHeader = 20      // bytes: time, length, number of records, sequence number
	afterLength = 8       // bytes of the header that the length includes
	maxFrame    = 1 << 30 // bytes; a longer frame is rejected as malformed
	entrySize   = 22      // bytes of one entry of a list of backends
	maxLists    = 16      // lists of backends that can be defined at a time
	flagRetry   = 2       // the client marked the request as a retry
)

// Start is the Attach record, which starts an instance.
type Start struct {
	Seed     uint64
	Settings rules.Settings
}

// Record is one event for one instance. Exactly one of Start, Stop and Event
// is set.
type Record struct {
	Gateway uint32
	Start   *Start
	Stop    bool
	Event   rules.Event
}

// Batch is the records of one point in time.
type Batch struct {
	Now     float64
	Seq     uint32
	Records []Record
}

// Decoder reads batches. It keeps the lists of backends, which later batches refer to by
// number.
type Decoder struct {
	r       io.Reader
	frame   []byte
	lists   [maxLists][]rules.Backend
	defined [maxLists]bool
}

// NewDecoder returns a decoder of the frames that r has.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: r} }

// Next reads one batch. It returns io.EOF if the input ends between frames.
func (d *Decoder) Next() (Batch, error) {
	var header [batchHeader]byte
	if _, err := io.ReadFull(d.r, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return Batch{}, errors.New("the input ends within a header")
		}
		return Batch{}, err
	}
	b := Batch{Now: math.Float64frombits(binary.BigEndian.Uint64(header[0:])),
		Seq: binary.BigEndian.Uint32(header[16:])}
	length := binary.BigEndian.Uint32(header[8:])
	count := binary.BigEndian.Uint32(header[12:])
	if length < afterLength || length > maxFrame {
		return b, fmt.Errorf("batch %d: impossible length %d", b.Seq, length)
	}
	if math.IsNaN(b.Now) || math.IsInf(b.Now, 0) {
		return b, fmt.Errorf("batch %d: the time is not a number", b.Seq)
	}
	body, err := d.read(int(length) - afterLength)
	if err != nil {
		return b, fmt.Errorf("batch %d: the input ends within the frame", b.Seq)
	}
	b.Records, err = d.records(body, count)
	if err != nil {
		return b, fmt.Errorf("batch %d: %w", b.Seq, err)
	}
	return b, nil
}

// read reads n bytes. It grows the buffer only as they arrive: a false length must not
// allocate memory.
func (d *Decoder) read(n int) ([]byte, error) {
	const chunk = 1 << 20
	d.frame = d.frame[:0]
	for len(d.frame) < n {
		start, size := len(d.frame), min(chunk, n-len(d.frame))
		d.frame = append(d.frame, make([]byte, size)...)
		if _, err := io.ReadFull(d.r, d.frame[start:]); err != nil {
			return nil, err
		}
	}
	return d.frame, nil
}

// records decodes the records of a frame. Each applies to the instance of the last
// instance record before it.
func (d *Decoder) records(body []byte, count uint32) ([]Record, error) {
	c := &cursor{data: body}
	var out []Record
	var gateway uint32
	haveInstance := false
	for i := range count {
		code := c.u8()
		if c.short {
			return nil, fmt.Errorf("record %d: the frame is too short", i)
		}
		rec, err := d.record(c, code)
		switch {
		case c.short:
			return nil, fmt.Errorf("record %d (code %d): the frame is too short", i, code)
		case err != nil:
			return nil, fmt.Errorf("record %d (code %d): %w", i, code, err)
		case code == codeInstance:
			gateway, haveInstance = rec.Gateway, true
		case code == codeManifest:
		case !haveInstance:
			return nil, fmt.Errorf("record %d (code %d): no instance was named", i, code)
		default:
			rec.Gateway = gateway
			out = append(out, rec)
		}
	}
	if len(c.data) > 0 {
		return nil, fmt.Errorf("%d bytes follow the last record", len(c.data))
	}
	return out, nil
}

func (d *Decoder) record(c *cursor, code uint8) (Record, error) {
	switch code {
	case codeInstance:
		return Record{Gateway: c.u32()}, nil
	case codeManifest:
		return Record{}, d.manifest(c)
	case codeAttach:
		seed := c.u64()
		text := c.bytes(int(c.u32()))
		if c.short {
			return Record{}, nil
		}
		s, err := ParseSettings(text)
		return Record{Start: &Start{Seed: seed, Settings: s}}, err
	case codeTeardown:
		return Record{Stop: true}, nil
	case codeSync:
		ev, err := d.sync(c)
		return Record{Event: ev}, err
	}
	ev, err := c.event(code)
	return Record{Event: ev}, err
}

// manifest decodes the definition of a list of backends.
func (d *Decoder) manifest(c *cursor) error {
	list, n := c.u32(), c.u32()
	if list >= maxLists {
		return fmt.Errorf("list number %d is too high", list)
	}
	if uint64(n)*entrySize > uint64(len(c.data)) {
		c.short = true
		return nil
	}
	entries := make([]rules.Backend, n)
	for i := range entries {
		entries[i] = rules.Backend{ID: rules.BackendID(c.u32()), Zone: int(c.u8()), Kind: int(c.u16()),
			Cell: int(c.u16())}
		switch state := c.u8(); state {
		case 0:
			entries[i].State = rules.Removed
		case 1:
			entries[i].State = rules.Ready
		case 2:
			entries[i].State = rules.Draining
		default:
			return fmt.Errorf("availability %d is not known", state)
		}
		entries[i].Weight, entries[i].StartedAt = c.f32(), c.f64()
	}
	d.lists[list], d.defined[list] = entries, true
	return nil
}

// sync decodes a result of discovery, whose backends are a list that was defined before.
func (d *Decoder) sync(c *cursor) (rules.Event, error) {
	form := c.u8()
	c.u32() // revision; not needed, since changes arrive in order and none is missing
	list := c.u32()
	if c.short {
		return nil, nil
	}
	kind, known := map[uint8]rules.ListKind{0: rules.FullList, 1: rules.DeltaList, 2: rules.CachedList,
		3: rules.ListFailed}[form]
	if !known {
		return nil, fmt.Errorf("form %d is not known", form)
	}
	if kind == rules.ListFailed {
		return rules.Backends{Kind: kind}, nil
	}
	if list >= maxLists || !d.defined[list] {
		return nil, fmt.Errorf("list %d was not defined", list)
	}
	return rules.Backends{Kind: kind, Entries: d.lists[list]}, nil
}

// outcomes maps the codes of the protocol. Any other code is an error.
var outcomes = map[uint8]rules.Outcome{0: rules.Served, 255: rules.Errored, 254: rules.Overloaded,
	253: rules.TimedOut, 252: rules.ConnectFailed, 251: rules.ConnectionBroken, 250: rules.Cancelled, 249: rules.NotSent}

// event decodes the events that don't depend on the state of the decoder.
func (c *cursor) event(code uint8) (rules.Event, error) {
	switch code {
	case codeRequest:
		return c.request(), nil
	case codeEstablished:
		e := rules.ResponseStarted{Request: rules.RequestID(c.u32()), Backend: rules.BackendID(c.u32())}
		e.Duration, e.Attempt = c.f64(), int(c.u8())
		return e, nil
	case codeAttemptEnd:
		return c.attemptEnd()
	case codeAborted:
		return rules.ClientDisconnected{Request: rules.RequestID(c.u32())}, nil
	case codeTimer:
		return rules.TimerFired{Token: c.u64()}, nil
	case codeProbed:
		e := rules.ProbeResult{Backend: rules.BackendID(c.u32())}
		var err error
		e.Outcome, err = c.outcome()
		e.Duration, e.LoadData = c.f64(), c.report()
		return e, err
	case codePeerData:
		from := int(c.u32())
		return rules.PeerMessage{From: from, Data: append([]byte(nil), c.bytes(int(c.u16()))...)}, nil
	case codeCounter:
		e := rules.CounterReply{Key: c.u64()}
		var err error
		e.Outcome, err = c.outcome()
		e.Total, e.Duration = c.f32(), c.f64()
		return e, err
	}
	return nil, errors.New("the code is not known")
}

func (c *cursor) request() rules.Event {
	r := rules.Request{ID: rules.RequestID(c.u32()), FirstGateway: int(c.f32()), Plan: int(c.u16()),
		Customer: rules.CustomerID(c.u64()), Gateways: int(c.f32()), Units: c.f32()}
	r.IsRetry = c.u8()&flagRetry != 0
	r.Class, r.Deadline = int(c.u16()), c.f64()
	return r
}

func (c *cursor) attemptEnd() (rules.Event, error) {
	e := rules.AttemptEnd{Request: rules.RequestID(c.u32()), Attempt: int(c.u8()),
		Backend: rules.BackendID(c.u32())}
	var err error
	e.Outcome, err = c.outcome()
	e.Duration, e.RequestDone = c.f64(), c.u8() != 0
	e.QuotaUse, e.ActualUnits = int(c.u16()), float64(c.u16())
	e.LoadData = c.report()
	return e, err
}

func (c *cursor) outcome() (rules.Outcome, error) {
	code := c.u8()
	o, known := outcomes[code]
	if !known && !c.short {
		return o, fmt.Errorf("outcome %d is not known", code)
	}
	return o, nil
}

// report decodes the load data that a backend reports.
func (c *cursor) report() []float64 {
	n := int(c.u8())
	if n == 0 || n*4 > len(c.data) {
		c.short = c.short || n > 0
		return nil
	}
	out := make([]float64, n)
	for i := range out {
		out[i] = c.f32()
	}
	return out
}

// cursor reads the fields of a frame in order. Beyond the end it returns zeros and sets
// short.
type cursor struct {
	data  []byte // not read yet
	short bool
}

func (c *cursor) bytes(n int) []byte {
	if n < 0 || n > len(c.data) {
		c.short, c.data = true, nil
		return nil
	}
	out := c.data[:n]
	c.data = c.data[n:]
	return out
}

// number reads a big-endian integer of n bytes.
func (c *cursor) number(n int) uint64 {
	var value uint64
	for _, b := range c.bytes(n) {
		value = value<<8 | uint64(b)
	}
	return value
}

func (c *cursor) u8() uint8    { return uint8(c.number(1)) }
func (c *cursor) u16() uint16  { return uint16(c.number(2)) }
func (c *cursor) u32() uint32  { return uint32(c.number(4)) }
func (c *cursor) u64() uint64  { return c.number(8) }
func (c *cursor) f64() float64 { return math.Float64frombits(c.u64()) }
func (c *cursor) f32() float64 { return float64(math.Float32frombits(c.u32())) }
