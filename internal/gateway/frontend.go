package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"elderyard/internal/site"
	"elderyard/internal/wire"
	"elderyard/rules"
	"elderyard/traces"
)

const (
	mostHeader   = 16 << 10 // bytes
	mostName     = 256      // bytes of an id or a key
	mostPatience = time.Hour
	readTimeout  = 2500 * time.Millisecond // for a whole request; 3 s after connecting a client is owed an error or a close
	writeTimeout = 10 * time.Second
	idleTimeout  = 2 * time.Minute
	readyPath    = "/health/ready"

	idHeader     = "X-Correlation-Id"
	classHeader  = "X-Service-Class"
	planHeader   = "X-Tier"
	clientHeader = "X-Api-Key"
	keyHeader    = "Idempotency-Key"
	termsHeader  = "X-Call-Terms"
	repeatHeader = "X-Repeat"
)

// once are the headers that may stand but once. Danger: of two, the backend
// might go by another than the decisions did.
var once = []string{idHeader, classHeader, planHeader, clientHeader, leftHeader, keyHeader, termsHeader, repeatHeader}

// exchange is one request of a client, from its last byte to its final answer.
type exchange struct {
	id     string        // the client's own
	ask    rules.Request // the loop gives it its id
	method string
	uri    string
	host   string
	header http.Header // what goes on to a backend
	body   []byte      // where it is short
	upload *upload     // where it is not; the client's time runs from its end
	left   float64     // seconds that the client waits from then

	conn  *guard        // the client's; nil: not known
	trace *traces.Begin // nil where nothing is exported

	// reply takes the one final answer; the loop sends it and never waits.
	reply chan answer

	// The loop's own:
	open     bool // the final answer has not been given
	out      int  // attempts out
	attempts []*attempt
}

// answer is what a client is told.
type answer struct {
	status     int
	retryAfter float64 // seconds; 0: no advice
	why        rules.Reason
	paid       float64 // when its quota let it in, of one that was turned away
	header     http.Header
	body       []byte
	rest       *download // in place of body: the answer passes through
}

// frontend serves clients.
type frontend struct {
	loop    *Loop
	deploy  *wire.Deployment
	ready   atomic.Bool
	leaving atomic.Bool // for good: connections are closed after their answer
	lame    atomic.Bool // drained by hand, until the operators say otherwise
}

// serves tells whether clients may come.
func (f *frontend) serves() bool { return f.ready.Load() && !f.closing() }

// closing tells whether connections are to be closed after their answer.
func (f *frontend) closing() bool { return f.leaving.Load() || f.lame.Load() }

// server serves the clients of c, whose requests are held for the given time at
// most.
func (f *frontend) server(c *clients, longest time.Duration) *http.Server {
	return &http.Server{Handler: f, MaxHeaderBytes: mostHeader, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, WriteTimeout: readTimeout + longest + writeTimeout, ConnState: c.state,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, guardKey{}, conn)
		}}
}

func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == readyPath {
		if f.closing() {
			w.Header().Set("Connection", "close")
		}
		if !f.serves() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
		return
	}
	x, status, err := f.read(w, r)
	if err != nil {
		// Danger: what follows a request that was not understood may be a part of it.
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), status)
		return
	}
	if r.Context().Err() != nil {
		gone(w) // with a request before this one
		return
	}
	if !f.loop.Post(arrival{f.loop, x}) {
		http.Error(w, "the gateway has stopped", http.StatusInternalServerError)
		return
	}
	select {
	case a := <-x.reply:
		// As it is now: a request may have been held since before. The guard looks no further after chunks.
		if f.closing() || len(r.TransferEncoding) > 0 {
			w.Header().Set("Connection", "close")
		}
		if x.upload != nil && !x.upload.stop() {
			w.Header().Set("Connection", "close") // answered before its end
		}
		if g := guardOf(r); g != nil {
			g.answering()
		}
		if err := a.write(w); err != nil {
			panic(http.ErrAbortHandler) // the client must see that it is not whole
		}
	case <-r.Context().Done():
		f.loop.Post(clientGone{f.loop, x})
		if x.upload != nil && !x.upload.stop() {
			// Its body came to no end; the connection may still stand.
			w.Header().Set("Connection", "close")
			http.Error(w, "the body did not come in time", http.StatusRequestTimeout)
			return
		}
		gone(w)
	case <-f.loop.Stopped():
		if x.upload != nil {
			x.upload.stop()
		}
		http.Error(w, "the gateway has stopped", http.StatusInternalServerError)
	}
}

// gone ends the connection of a client that has left, or sends on without an answer.
// Danger: with no word from here the server would say 200, and a client that has only
// ended its sending would take that for a backend's answer.
func gone(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	http.Error(w, "the client ended its sending, or sent on, before its answer", http.StatusBadRequest)
}

// read takes a request in, whole, or says with which status it is turned down.
func (f *frontend) read(w http.ResponseWriter, r *http.Request) (*exchange, int, error) {
	now := f.loop.Clock.Now()
	switch {
	case !r.ProtoAtLeast(1, 1):
		// Its framing is that of another time; net/http drops a Transfer-Encoding there unseen.
		return nil, http.StatusHTTPVersionNotSupported, errors.New("HTTP/1.1 is wanted")
	case hides(r):
		return nil, http.StatusBadRequest, errors.New("the length of the body is told in more than one way")
	}
	x := &exchange{conn: guardOf(r), method: r.Method, uri: originForm(r), host: r.Host, reply: make(chan answer, 1)}
	ask, err := f.parse(r)
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	x.ask = ask
	x.id = r.Header.Get(idHeader)
	class := &f.deploy.Classes[ask.Class]
	switch key := r.Header.Get(keyHeader); {
	case class.Idempotency == rules.Idempotent && r.Method != http.MethodGet,
		class.Idempotency != rules.Idempotent && r.Method != http.MethodPost:
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("method %s does not fit the class", r.Method)
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return nil, http.StatusBadRequest, errors.New("a GET has no body")
	case class.Idempotency == rules.IdempotentByKey && key == "":
		return nil, http.StatusBadRequest, errors.New(keyHeader + " is missing")
	case len(key) > mostName:
		return nil, http.StatusBadRequest, errors.New(keyHeader + " is too long")
	case r.ContentLength > mostBulk:
		return nil, http.StatusRequestEntityTooLarge, errTooLong
	}
	if r.ContentLength != 0 {
		var up *upload
		all := true
		if r.ContentLength > 0 && r.ContentLength <= trustedBody {
			x.body, err = shortBody(w, r)
		} else {
			up = newUpload(w, r)
			x.body, all, err = up.first()
		}
		if err != nil {
			return nil, http.StatusBadRequest, fmt.Errorf("body: %w", err)
		}
		if !all {
			up.prefix, x.body = x.body, nil
			x.upload, x.ask.Streamed = up, true
		}
		now = f.loop.Clock.Now() // a request's time counts from its last byte
	} else {
		// Danger: the time-out for reading the request would end the watch.
		http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	// Danger: what a client claims beyond its class's own time would hold a request past the end of this process.
	x.left = min(x.ask.Deadline, class.Timeout) - answerMargin
	x.ask.SentAt = now
	x.ask.Deadline = now + x.left
	if x.upload != nil {
		x.ask.Deadline += max(time.Until(x.upload.until).Seconds(), 0)
	}
	x.header = passedOn(r.Header)
	if f.loop.telemetry != nil {
		x.trace = f.beginTrace(x)
	}
	return x, 0, nil
}

// guardKey is the key of a request's connection among its context's values.
type guardKey struct{}

// hides tells whether a request may hide another, or its connection has carried
// one that may.
func hides(r *http.Request) bool {
	g := guardOf(r)
	return g != nil && g.tainted.Load()
}

// guardOf is the guard of a request's connection; nil where it has none.
func guardOf(r *http.Request) *guard {
	g, _ := r.Context().Value(guardKey{}).(*guard)
	return g
}

// originForm is the target as it goes on: a whole address, as for a proxy, loses
// its scheme and host.
func originForm(r *http.Request) string {
	uri := r.RequestURI
	if _, rest, whole := strings.Cut(uri, "://"); whole && !strings.HasPrefix(uri, "/") {
		if at := strings.IndexAny(rest, "/?"); at >= 0 {
			uri = rest[at:]
		} else {
			uri = "/"
		}
		if strings.HasPrefix(uri, "?") {
			uri = "/" + uri
		}
	}
	return uri
}

// parse reads the headers that the decisions need. Nothing has a default: a
// request that is not understood might be charged to the wrong customer or
// repeated against its class.
func (f *frontend) parse(r *http.Request) (rules.Request, error) {
	var q rules.Request
	h := r.Header
	for _, name := range once {
		if len(h[name]) > 1 {
			return q, errors.New(name + " stands more than once")
		}
	}
	if id := h.Get(idHeader); id == "" || len(id) > mostName {
		return q, errors.New(idHeader + " is missing or too long")
	}
	class := h.Get(classHeader)
	if q.Class = slices.Index(f.deploy.ClassNames, class); q.Class < 0 {
		return q, errors.New(classHeader + " names no class")
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); first != class || strings.HasPrefix(originForm(r), "//") {
		return q, errors.New("the path is not one of the class")
	}
	if q.Plan = slices.Index(f.deploy.PlanNames, h.Get(planHeader)); q.Plan < 0 {
		return q, errors.New(planHeader + " names no plan")
	}
	customer := h.Get(clientHeader)
	n, err := site.ParseAccountID(customer)
	if err != nil {
		return q, errors.New(clientHeader + " is not the number of a customer")
	}
	q.Customer = rules.CustomerID(n)
	left, err := strconv.ParseInt(h.Get(leftHeader), 10, 64)
	if err != nil || left <= 0 || left > mostPatience.Milliseconds() {
		return q, errors.New(leftHeader + " is not a time in milliseconds")
	}
	q.Deadline = float64(left) / 1000 // from when it is whole
	q.IsRetry = h.Get(repeatHeader) == "1"
	return q, f.terms(&q, h.Get(termsHeader))
}

// terms reads the units of a request and the gateways of its customer.
func (f *frontend) terms(q *rules.Request, text string) error {
	seen := ""
	for part := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.Contains(seen, key+"=") {
			return fmt.Errorf("%s: %s stands more than once", termsHeader, key)
		}
		seen += key + "="
		var err error
		switch key {
		case "units":
			q.Units, err = strconv.ParseFloat(value, 64)
		case "spread":
			q.Gateways, err = strconv.Atoi(value)
		case "first":
			q.FirstGateway, err = strconv.Atoi(value)
		}
		if err != nil {
			return fmt.Errorf("%s: %s is not a number", termsHeader, key)
		}
	}
	most := f.deploy.MaxUnits
	if most <= 0 {
		most = math.MaxInt32
	}
	if !(q.Units > 0 && q.Units <= most) || q.Gateways < 1 || q.Gateways > f.deploy.FleetSize ||
		q.FirstGateway < 0 || q.FirstGateway >= f.deploy.FleetSize {
		return errors.New(termsHeader + ": units, spread or first is missing or out of range")
	}
	return nil
}

// hopByHop are the headers that end at this gateway.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// passedOn returns the headers for the other side: all but those that belong to
// the connection. It uses up h.
func passedOn(h http.Header) http.Header {
	for _, named := range h["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); name != idHeader && name != keyHeader {
				delete(h, name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
	return h
}

// write gives the answer to the client. An error means that it could not be given
// whole.
func (a answer) write(w http.ResponseWriter) error {
	h := w.Header()
	for k, v := range a.header {
		h[k] = v
	}
	if a.status != http.StatusOK {
		if a.retryAfter > 0 {
			h["Retry-After"] = []string{strconv.FormatFloat(math.Ceil(a.retryAfter*1000)/1000, 'f', -1, 64)}
		}
		h["Content-Length"] = []string{"0"}
		w.WriteHeader(a.status)
		return nil
	}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil // the backend named none, and guessing costs time
	}
	if a.rest != nil {
		if a.rest.length >= 0 {
			h["Content-Length"] = []string{strconv.FormatInt(a.rest.length, 10)}
		}
		w.WriteHeader(a.status)
		return a.rest.write(w)
	}
	h["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	w.WriteHeader(a.status)
	w.Write(a.body) // an error means that the client has left
	return nil
}
