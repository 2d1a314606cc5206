package wire

import (
	"encoding/binary"
	"fmt"
	"math"

	"elderyard/rules"
)

// Codes of the records in a reply. A comment has the protocol's name where it differs.
const (
	codeProbe           = 80 // AskLoad
	codeCancel          = 81 // DropAttempt
	codeSetTimer        = 82 // Sleep
	codeCount           = 85
	codeRefuse          = 86 // Decline
	codeInstanceActions = 87 // Speaking
	codeSubscribe       = 88 // StreamChanges
	codeFail            = 89 // Abort
	codeSend            = 91 // PassOn
	codeLog             = 92
)

const replyHeader = 12 // bytes: length, number of records, sequence number

// Reply is the frame with the actions of all instances for one batch.
type Reply struct {
	buf   []byte
	count uint32
}

// Reset empties the reply and sets the sequence number of the batch that it answers.
func (r *Reply) Reset(seq uint32) {
	r.buf = append(r.buf[:0], make([]byte, replyHeader)...)
	binary.BigEndian.PutUint32(r.buf[8:], seq)
	r.count = 0
}

// Add appends the actions of one instance.
func (r *Reply) Add(gateway uint32, actions []rules.Action) error {
	if len(actions) == 0 {
		return nil
	}
	r.start(codeInstanceActions)
	r.u32(gateway)
	for _, a := range actions {
		if err := r.action(a); err != nil {
			return err
		}
	}
	return nil
}

// Bytes returns the complete frame, which is valid until the next Reset.
func (r *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(r.buf[0:], uint32(len(r.buf)-4))
	binary.BigEndian.PutUint32(r.buf[4:], r.count)
	return r.buf
}

func (r *Reply) action(a rules.Action) error {
	switch a := a.(type) {
	case rules.Send:
		r.start(codeSend)
		r.u32(uint32(a.Request))
		r.f64(a.Timeout)
		r.u32(uint32(a.Backend))
	case rules.Cancel:
		r.start(codeCancel)
		r.u32(uint32(a.Request))
		r.buf = append(r.buf, uint8(a.Attempt))
	case rules.Refuse:
		r.start(codeRefuse)
		r.u32(uint32(a.Request))
		r.f64(a.RetryAfter)
	case rules.Fail:
		r.start(codeFail)
		r.u32(uint32(a.Request))
	case rules.SetTimer:
		r.start(codeSetTimer)
		r.f64(a.Delay)
		r.u64(a.Token)
	case rules.CounterAdd:
		r.start(codeCount)
		r.u64(a.Key)
		r.u32(math.Float32bits(float32(a.Amount)))
		r.f64(a.TTL)
	case rules.Probe:
		r.start(codeProbe)
		r.u32(uint32(a.Backend))
	case rules.Subscribe:
		r.start(codeSubscribe)
		r.buf = append(r.buf, 1)
	case rules.Log:
		r.start(codeLog)
		text := a.Text[:min(len(a.Text), math.MaxUint16)]
		r.buf = binary.BigEndian.AppendUint16(r.buf, uint16(len(text)))
		r.buf = append(r.buf, text...)
	default:
		return fmt.Errorf("no record for action %T", a)
	}
	return nil
}

// start begins a record.
func (r *Reply) start(code uint8) {
	r.buf = append(r.buf, code)
	r.count++
}

func (r *Reply) u32(v uint32)  { r.buf = binary.BigEndian.AppendUint32(r.buf, v) }
func (r *Reply) u64(v uint64)  { r.buf = binary.BigEndian.AppendUint64(r.buf, v) }
func (r *Reply) f64(v float64) { r.u64(math.Float64bits(v)) }
