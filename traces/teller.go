package traces

import (
	"encoding/binary"
	"math"
	"math/rand/v2"

	"elderyard/rules"
)

// Settings say which stories are told.
type Settings struct {
	Classes, Plans []string
	Aims           []float64 // seconds, by class
	Share          float64   // of stories, kept whatever became of them, 0 to 1
	Keep           Keep
}

// Keep are the stories that are kept beside the share.
type Keep struct{ Failed, Refused, Late, Repeated bool }

// The bounds of one story.
const (
	mostAttempts = 16
)

// Begin is a request that was taken in. All events of it carry it, and from the first
// one on it holds what its story will be made of: so open stories are no more than open requests.
type Begin struct {
	Context  Context // the client's; Parent all zero: it brought none
	Self     Context // of the request's own span; what goes on bears it
	Client   string  // the client's own id of the try
	Class    int
	Plan     int
	Units    float64
	Method   string
	Key      bool // it carried a key
	Repeated bool // its client marked it as another try
	Sent     float64

	story story // the teller's
}

// Event is one thing that happened to a request. What is set beside Kind, At and
// Begin goes with the kind.
type Event struct {
	Kind  EventKind
	At    float64 // seconds
	Begin *Begin

	Attempt    int    // of Sent and Ended
	Span       SpanID // of Sent: the attempt's
	Backend    string // of Sent
	Zone       string // of Sent
	Paid       float64
	Outcome    rules.Outcome // of Ended
	Status     int           // of Answered
	Reason     rules.Reason  // of Answered, where it was turned away
	RetryAfter float64       // of Answered, seconds
}

// EventKind says what happened.
type EventKind uint8

// The kinds of event.
const (
	Began    EventKind = iota // a request was taken in
	Sent                      // an attempt was started
	Ended                     // an attempt has its end
	Answered                  // the request has its final answer
	Left                      // its client has gone before that
)

// Teller makes spans of events.
type Teller struct {
	set  Settings
	rng  *rand.Rand
	Kept int // stories told
	Left int // stories that were not kept
}

// story is what is known of a request whose end has not come.
type story struct {
	began    float64
	attempts []told
	first    [1]told // most requests need no more
	out      int
	begun    bool
	over     bool // answered, or its client has left
	done     bool // told, or left out
	answered Event
}

// told is one attempt.
type told struct {
	at, end, paid float64
	number        int
	span          SpanID
	backend, zone string
	ended         bool
	outcome       rules.Outcome
}

// NewTeller makes one. Seed draws the ids of spans for waits.
func NewTeller(set Settings, seed uint64) *Teller {
	return &Teller{set: set, rng: rand.New(rand.NewPCG(seed, 11))}
}

// Handle takes an event and appends the spans of the story that it ends, if it is
// kept.
func (t *Teller) Handle(e Event, out []Span) []Span {
	s := &e.Begin.story
	if e.Kind == Began {
		s.began, s.begun, s.attempts = e.At, true, s.first[:0]
		return out
	}
	if !s.begun || s.done {
		return out // its beginning was missed, or what comes is late
	}
	switch e.Kind {
	case Sent:
		if len(s.attempts) < mostAttempts {
			s.attempts = append(s.attempts, told{at: e.At, paid: e.Paid, number: e.Attempt, span: e.Span, backend: e.Backend, zone: e.Zone})
			s.out++
		}
	case Ended:
		for i := range s.attempts {
			if a := &s.attempts[i]; a.number == e.Attempt && !a.ended {
				a.ended, a.end, a.outcome = true, e.At, e.Outcome
				s.out--
				break
			}
		}
	case Answered, Left:
		if !s.over {
			s.over, s.answered = true, e
			s.answered.Begin = nil // it holds the story
		}
	}
	if !s.over || s.out > 0 {
		return out
	}
	s.done = true
	return t.tell(e.Begin, out)
}

// InShare tells whether a story is of the share that is kept whatever becomes of
// it. It goes by the trace's last bytes, so all processes agree.
func InShare(id TraceID, share float64) bool {
	const bits = 56 // that W3C asks to be random
	return float64(binary.BigEndian.Uint64(id[8:])&(1<<bits-1)) < share*(1<<bits)
}

// why returns what a story is kept for, "" for nothing, and the share of its like
// that is kept.
func (t *Teller) why(b *Begin) (reason string, share float64) {
	k, s := t.set.Keep, &b.story
	a, left := &s.answered, s.answered.Kind == Left
	switch {
	case b.Context.Sampled:
		return "client", 1
	case k.Failed && !left && a.Status >= 500:
		return "failed", 1
	case k.Refused && !left && (a.Status == 429 || a.Status == 503):
		return "refused", 1
	case k.Late && !left && a.At-b.Sent > t.set.Aims[b.Class]:
		return "late", 1
	case k.Repeated && (b.Repeated || len(s.attempts) > 1):
		return "repeated", 1
	case InShare(b.Self.Trace, t.set.Share):
		return "share", t.set.Share
	}
	return "", 0
}

// tell makes the spans of a story, or leaves it out.
func (t *Teller) tell(b *Begin, out []Span) []Span {
	s := &b.story
	why, share := t.why(b)
	if why == "" {
		t.Left++
		return out
	}
	t.Kept++
	end := s.answered
	root := Span{Trace: b.Self.Trace, ID: b.Self.Span, Parent: b.Context.Span, State: b.Self.State, Sampled: b.Self.Sampled, Kind: Server,
		Name: b.Method + " /" + t.set.Classes[b.Class], Start: min(b.Sent, s.began), End: end.At}
	root.Attrs = []Attr{{"http.request.method", b.Method}, {"elderyard.class", t.set.Classes[b.Class]}, {"elderyard.plan", t.set.Plans[b.Plan]},
		{"elderyard.units", b.Units}, {"elderyard.request.id", b.Client}, {"elderyard.request.keyed", b.Key}, {"elderyard.request.repeated", b.Repeated},
		{"elderyard.attempts", int64(len(s.attempts))}, {"elderyard.kept.why", why}, {"elderyard.kept.share", share}}
	if end.Kind == Left {
		root.Attrs = append(root.Attrs, Attr{"elderyard.outcome", "client gone"})
	} else {
		root.Attrs = append(root.Attrs, Attr{"http.response.status_code", int64(end.Status)}, Attr{"elderyard.outcome", outcomeOf(end)})
		if root.Failed = end.Status >= 500; root.Failed {
			root.Message = "no backend answered"
		}
		if end.RetryAfter > 0 {
			root.Attrs = append(root.Attrs, Attr{"elderyard.retry_after_s", end.RetryAfter})
		}
	}
	first := len(out)
	out = append(out, root)
	out = t.waits(s, &root, out)
	for i := range s.attempts {
		a := &s.attempts[i]
		span := Span{Trace: root.Trace, ID: a.span, Parent: root.ID, State: root.State, Sampled: root.Sampled, Kind: Client,
			Name: "attempt", Start: a.at, End: max(a.end, a.at),
			Attrs: []Attr{{"server.address", a.backend}, {"elderyard.zone", a.zone}, {"elderyard.attempt", int64(a.number)},
				{"elderyard.outcome", outcomes[a.outcome]}, {"elderyard.never_ran", rules.NeverRan(a.outcome)}, {"elderyard.kept.share", share}}}
		if span.Failed = a.outcome != rules.Served && a.outcome != rules.Cancelled && a.outcome != rules.Moot; span.Failed {
			span.Message = outcomes[a.outcome]
		}
		out = append(out, span)
	}
	// A span ends no sooner than it begins, and a parent no sooner than its children, whatever the clock did.
	for i := range out[first:] {
		sp := &out[first+i]
		sp.End = max(sp.End, sp.Start)
		out[first].End = max(out[first].End, sp.End)
	}
	return out
}

// waits makes the spans of the time before the first attempt: until the quota paid,
// and from then until the bound let the request go.
func (t *Teller) waits(s *story, root *Span, out []Span) []Span {
	over := s.answered.At
	paid := 0.0
	if len(s.attempts) > 0 {
		over, paid = s.attempts[0].at, s.attempts[0].paid
	} else if s.answered.Reason != rules.NoQuota {
		paid = s.answered.Paid
	}
	wait := func(name string, from, to float64) {
		if to-from < leastSpan {
			return
		}
		out = append(out, Span{Trace: root.Trace, ID: t.spanID(), Parent: root.ID, State: root.State, Sampled: root.Sampled, Kind: Internal,
			Name: name, Start: from, End: to, Attrs: []Attr{{"elderyard.kept.share", root.Get("elderyard.kept.share")}}})
	}
	if paid < s.began {
		wait("wait for quota", s.began, over)
		return out
	}
	wait("wait for quota", s.began, min(paid, over))
	wait("wait for a place", min(paid, over), over)
	return out
}

// leastSpan is the shortest wait that is told, in seconds.
const leastSpan = 0.0005

func (t *Teller) spanID() (id SpanID) {
	binary.BigEndian.PutUint64(id[:], max(t.rng.Uint64(), 1))
	return id
}

var outcomes = map[rules.Outcome]string{rules.Served: "served", rules.Errored: "error", rules.Full: "turned away", rules.TimedOut: "no answer in time",
	rules.ConnectFailed: "no connection", rules.Broken: "connection ended", rules.Cancelled: "called off", rules.Moot: "not sent"}

var reasons = map[rules.Reason]string{rules.NoQuota: "no quota", rules.NoPlace: "no place", rules.NoAnswer: "no attempt succeeded"}

// outcomeOf names what a client was told.
func outcomeOf(e Event) string {
	switch {
	case e.Status == 200:
		return "served"
	case e.Status == 429:
		return "refused: " + reasons[e.Reason]
	}
	return "failed"
}

// Nanos is a time in seconds as OTLP writes it.
func Nanos(at float64) uint64 { return uint64(math.Round(max(at, 0) * 1e9)) }

// EventKinds are how many kinds of event there are.
const EventKinds = int(Left) + 1

// String is the kind as it is exported.
func (k EventKind) String() string {
	return [...]string{"request", "attempt", "attempt's end", "answer", "client gone"}[k]
}
