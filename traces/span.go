package traces

// Kind is the role of a span.
type Kind int

// The kinds of span, with OTLP's numbers.
const (
	Internal Kind = 1
	Server   Kind = 2
	Client   Kind = 3
)

// Span is one operation of a trace. Times are Unix times in seconds on the caller's clock.
type Span struct {
	Trace      TraceID
	ID, Parent SpanID // the root of a trace has an all-zero Parent
	TraceState string
	Sampled    bool
	Name       string
	Kind       Kind
	Start, End float64
	Attrs      []Attr
	Failed     bool
	Message    string // why it failed
}

// Attr is an attribute of a span, metric or resource.
type Attr struct {
	Key   string
	Value any // string, int64, float64 or bool
}

// Get returns the value of the attribute with the given key, nil if there is none.
func (s *Span) Get(key string) any {
	for _, a := range s.Attrs {
		if a.Key == key {
			return a.Value
		}
	}
	return nil
}
