package traces

// Kind is whose work a span is.
type Kind int

// The kinds, numbered as OTLP numbers them.
const (
	Internal Kind = 1
	Server   Kind = 2
	Client   Kind = 3
)

// Span is one stretch of a story. Times are seconds on the clock of the caller.
type Span struct {
	Trace      TraceID
	ID, Parent SpanID // Parent all zero: none
	State      string
	Sampled    bool
	Name       string
	Kind       Kind
	Start, End float64
	Attrs      []Attr
	Failed     bool
	Message    string // why, where it failed
}

// Attr is one attribute.
type Attr struct {
	Key   string
	Value any // string, int64, float64 or bool
}

// Get returns an attribute's value, or nil.
func (s *Span) Get(key string) any {
	for _, a := range s.Attrs {
		if a.Key == key {
			return a.Value
		}
	}
	return nil
}
