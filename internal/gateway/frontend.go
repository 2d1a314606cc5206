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
	maxHeaderBytes = 16 << 10 // bytes
	maxNameBytes   = 256      // bytes of an id or a key
	maxTimeLeft    = time.Hour
	readTimeout    = 2500 * time.Millisecond // for a whole request; 3 s after connecting a client is owed an error or a close
	writeTimeout   = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	readyPath      = "/health/ready"

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
var singleHeaders = []string{idHeader, classHeader, planHeader, clientHeader, timeLeftHeader, keyHeader, termsHeader, repeatHeader}

// exchange is one request of a client, from its last byte to its final answer.
type exchange struct {
	correlationID string        // the client's own
	request       rules.Request // the loop gives it its id
	method        string
	uri           string
	host          string
	header        http.Header // what goes on to a backend
	body          []byte      // where it is short
	upload        *upload     // where it is not; the client's time runs from its end
	timeLeft      float64     // seconds that the client waits from then

	conn  *clientConn   // the client's; nil: not known
	trace *traces.Begin // nil where nothing is exported

	// reply takes the one final answer; the loop sends it and never waits.
	reply chan response

	// The loop's own:
	open           bool // the final answer has not been given
	activeAttempts int  // attempts out
	attempts       []*attempt
}

// answer is what a client is told.
type response struct {
	status     int
	retryAfter float64 // seconds; 0: no advice
	reason     rules.Reason
	admittedAt float64 // when its quota let it in, of one that was turned away
	header     http.Header
	body       []byte
	stream     *download // in place of body: the answer passes through
}

// frontend serves clients.
type frontend struct {
	loop         *Loop
	deploy       *wire.Deployment
	ready        atomic.Bool
	shuttingDown atomic.Bool // for good: connections are closed after their answer
	draining     atomic.Bool // drained by hand, until the operators say otherwise
}

// serves tells whether clients may come.
func (f *frontend) isReady() bool { return f.ready.Load() && !f.closesConnections() }

// closing tells whether connections are to be closed after their answer.
func (f *frontend) closesConnections() bool { return f.shuttingDown.Load() || f.draining.Load() }

// server serves the clients of c, whose requests are held for the given time at
// most.
func (f *frontend) server(clients *clientListener, longest time.Duration) *http.Server {
	return &http.Server{Handler: f, MaxHeaderBytes: maxHeaderBytes, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, WriteTimeout: readTimeout + longest + writeTimeout, ConnState: clients.onStateChange,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, clientConnKey{}, conn)
		}}
}

func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == readyPath {
		if f.closesConnections() {
			w.Header().Set("Connection", "close")
		}
		if !f.isReady() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
		return
	}
	ex, status, err := f.readExchange(w, r)
	if err != nil {
		// Danger: what follows a request that was not understood may be a part of it.
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), status)
		return
	}
	if r.Context().Err() != nil {
		respondDisconnected(w) // with a request before this one
		return
	}
	if !f.loop.Post(requestArrived{f.loop, ex}) {
		http.Error(w, "the gateway has stopped", http.StatusInternalServerError)
		return
	}
	select {
	case response := <-ex.reply:
		// As it is now: a request may have been held since before. The guard looks no further after chunks.
		if f.closesConnections() || len(r.TransferEncoding) > 0 {
			w.Header().Set("Connection", "close")
		}
		if ex.upload != nil && !ex.upload.stop() {
			w.Header().Set("Connection", "close") // answered before its end
		}
		if conn := clientConnOf(r); conn != nil {
			conn.markResponding()
		}
		if err := response.write(w); err != nil {
			panic(http.ErrAbortHandler) // the client must see that it is not whole
		}
	case <-r.Context().Done():
		f.loop.Post(clientDisconnected{f.loop, ex})
		if ex.upload != nil && !ex.upload.stop() {
			// Its body came to no end; the connection may still stand.
			w.Header().Set("Connection", "close")
			http.Error(w, "the body did not come in time", http.StatusRequestTimeout)
			return
		}
		respondDisconnected(w)
	case <-f.loop.Stopped():
		if ex.upload != nil {
			ex.upload.stop()
		}
		http.Error(w, "the gateway has stopped", http.StatusInternalServerError)
	}
}

// gone ends the connection of a client that has left, or sends on without an answer.
// Danger: with no word from here the server would say 200, and a client that has only
// ended its sending would take that for a backend's answer.
func respondDisconnected(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	http.Error(w, "the client ended its sending, or sent on, before its answer", http.StatusBadRequest)
}

// read takes a request in, whole, or says with which status it is turned down.
func (f *frontend) readExchange(w http.ResponseWriter, r *http.Request) (*exchange, int, error) {
	now := f.loop.Clock.Now()
	switch {
	case !r.ProtoAtLeast(1, 1):
		// Its framing is that of another time; net/http drops a Transfer-Encoding there unseen.
		return nil, http.StatusHTTPVersionNotSupported, errors.New("HTTP/1.1 is wanted")
	case mayHideRequest(r):
		return nil, http.StatusBadRequest, errors.New("the length of the body is told in more than one way")
	}
	ex := &exchange{conn: clientConnOf(r), method: r.Method, uri: originForm(r), host: r.Host, reply: make(chan response, 1)}
	request, err := f.parseHeaders(r)
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	ex.request = request
	ex.correlationID = r.Header.Get(idHeader)
	class := &f.deploy.Classes[request.Class]
	switch key := r.Header.Get(keyHeader); {
	case class.Idempotency == rules.Idempotent && r.Method != http.MethodGet,
		class.Idempotency != rules.Idempotent && r.Method != http.MethodPost:
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("method %s does not fit the class", r.Method)
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return nil, http.StatusBadRequest, errors.New("a GET has no body")
	case class.Idempotency == rules.IdempotentByKey && key == "":
		return nil, http.StatusBadRequest, errors.New(keyHeader + " is missing")
	case len(key) > maxNameBytes:
		return nil, http.StatusBadRequest, errors.New(keyHeader + " is too long")
	case r.ContentLength > maxStreamedBody:
		return nil, http.StatusRequestEntityTooLarge, errTooLong
	}
	if r.ContentLength != 0 {
		var upload *upload
		complete := true
		if r.ContentLength > 0 && r.ContentLength <= maxPreallocatedBody {
			ex.body, err = readShortBody(w, r)
		} else {
			upload = newUpload(w, r)
			ex.body, complete, err = upload.readBuffered()
		}
		if err != nil {
			return nil, http.StatusBadRequest, fmt.Errorf("body: %w", err)
		}
		if !complete {
			upload.prefix, ex.body = ex.body, nil
			ex.upload, ex.request.Streamed = upload, true
		}
		now = f.loop.Clock.Now() // a request's time counts from its last byte
	} else {
		// Danger: the time-out for reading the request would end the watch.
		http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	// Danger: what a client claims beyond its class's own time would hold a request past the end of this process.
	ex.timeLeft = min(ex.request.Deadline, class.Timeout) - responseMargin
	ex.request.SentAt = now
	ex.request.Deadline = now + ex.timeLeft
	if ex.upload != nil {
		ex.request.Deadline += max(time.Until(ex.upload.deadline).Seconds(), 0)
	}
	ex.header = endToEndHeaders(r.Header)
	if f.loop.telemetry != nil {
		ex.trace = f.beginTrace(ex)
	}
	return ex, 0, nil
}

// guardKey is the key of a request's connection among its context's values.
type clientConnKey struct{}

// hides tells whether a request may hide another, or its connection has carried
// one that may.
func mayHideRequest(r *http.Request) bool {
	conn := clientConnOf(r)
	return conn != nil && conn.ambiguous.Load()
}

// guardOf is the guard of a request's connection; nil where it has none.
func clientConnOf(r *http.Request) *clientConn {
	conn, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	return conn
}

// originForm is the target as it goes on: a whole address, as for a proxy, loses
// its scheme and host.
func originForm(r *http.Request) string {
	uri := r.RequestURI
	if _, hostAndPath, absolute := strings.Cut(uri, "://"); absolute && !strings.HasPrefix(uri, "/") {
		if at := strings.IndexAny(hostAndPath, "/?"); at >= 0 {
			uri = hostAndPath[at:]
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
func (f *frontend) parseHeaders(r *http.Request) (rules.Request, error) {
	var request rules.Request
	header := r.Header
	for _, name := range singleHeaders {
		if len(header[name]) > 1 {
			return request, errors.New(name + " stands more than once")
		}
	}
	if id := header.Get(idHeader); id == "" || len(id) > maxNameBytes {
		return request, errors.New(idHeader + " is missing or too long")
	}
	class := header.Get(classHeader)
	if request.Class = slices.Index(f.deploy.ClassNames, class); request.Class < 0 {
		return request, errors.New(classHeader + " names no class")
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); first != class || strings.HasPrefix(originForm(r), "//") {
		return request, errors.New("the path is not one of the class")
	}
	if request.Plan = slices.Index(f.deploy.PlanNames, header.Get(planHeader)); request.Plan < 0 {
		return request, errors.New(planHeader + " names no plan")
	}
	customer := header.Get(clientHeader)
	account, err := site.ParseAccountID(customer)
	if err != nil {
		return request, errors.New(clientHeader + " is not the number of a customer")
	}
	request.Customer = rules.CustomerID(account)
	timeLeft, err := strconv.ParseInt(header.Get(timeLeftHeader), 10, 64)
	if err != nil || timeLeft <= 0 || timeLeft > maxTimeLeft.Milliseconds() {
		return request, errors.New(timeLeftHeader + " is not a time in milliseconds")
	}
	request.Deadline = float64(timeLeft) / 1000 // from when it is whole
	request.IsRetry = header.Get(repeatHeader) == "1"
	return request, f.parseTerms(&request, header.Get(termsHeader))
}

// terms reads the units of a request and the gateways of its customer.
func (f *frontend) parseTerms(request *rules.Request, text string) error {
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
			request.Units, err = strconv.ParseFloat(value, 64)
		case "spread":
			request.Gateways, err = strconv.Atoi(value)
		case "first":
			request.FirstGateway, err = strconv.Atoi(value)
		}
		if err != nil {
			return fmt.Errorf("%s: %s is not a number", termsHeader, key)
		}
	}
	maxUnits := f.deploy.MaxUnits
	if maxUnits <= 0 {
		maxUnits = math.MaxInt32
	}
	if !(request.Units > 0 && request.Units <= maxUnits) || request.Gateways < 1 || request.Gateways > f.deploy.FleetSize ||
		request.FirstGateway < 0 || request.FirstGateway >= f.deploy.FleetSize {
		return errors.New(termsHeader + ": units, spread or first is missing or out of range")
	}
	return nil
}

// hopByHop are the headers that end at this gateway.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// passedOn returns the headers for the other side: all but those that belong to
// the connection. It uses up h.
func endToEndHeaders(h http.Header) http.Header {
	for _, named := range h["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); name != idHeader && name != keyHeader {
				delete(h, name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
	return h
}

// write gives the answer to the client. An error means that it could not be given
// whole.
func (response response) write(w http.ResponseWriter) error {
	header := w.Header()
	for k, v := range response.header {
		header[k] = v
	}
	if response.status != http.StatusOK {
		if response.retryAfter > 0 {
			header["Retry-After"] = []string{strconv.FormatFloat(math.Ceil(response.retryAfter*1000)/1000, 'f', -1, 64)}
		}
		header["Content-Length"] = []string{"0"}
		w.WriteHeader(response.status)
		return nil
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil // the backend named none, and guessing costs time
	}
	if response.stream != nil {
		if response.stream.length >= 0 {
			header["Content-Length"] = []string{strconv.FormatInt(response.stream.length, 10)}
		}
		w.WriteHeader(response.status)
		return response.stream.write(w)
	}
	header["Content-Length"] = []string{strconv.Itoa(len(response.body))}
	w.WriteHeader(response.status)
	w.Write(response.body) // an error means that the client has left
	return nil
}
