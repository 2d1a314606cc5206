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
	maxNameBytes   = 256      // bytes of an ID or a key
	maxTimeLeft    = time.Hour
	readTimeout    = 2500 * time.Millisecond // for a complete request: within 3 s of connecting, a client must get an error or a close
	writeTimeout   = 10 * time.Second        // for the client to take a response that is not streamed
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

// singleHeaders are the headers that may occur only once. With two of them, the backend might use another
// value than the decision module did.
var singleHeaders = []string{idHeader, classHeader, planHeader, clientHeader, timeLeftHeader, keyHeader, termsHeader, repeatHeader}

// exchange is one client request, from its last byte to its response.
type exchange struct {
	correlationID string        // chosen by the client
	request       rules.Request // its ID is assigned by the loop
	method        string
	uri           string
	host          string
	header        http.Header // forwarded to the backend
	body          []byte      // a short body
	buffer        bodyBuffer  // of the body, or of the start of a long one
	upload        *upload     // a long body, which is streamed; the client's time limit starts when it has sent the end
	timeLeft      float64     // seconds that the client waits once the request is complete

	singleRun *singleRun // nil: it may run at any backends

	conn  *clientConn     // the client's connection; nil if unknown
	trace *traces.Request // nil if traces are not exported

	// reply is buffered for the one response: the loop sends it and never blocks.
	reply chan response

	// Owned by the loop:
	open           bool // no response has been sent
	bodyForwarded  bool // the streamed body has been written to a backend
	activeAttempts int  // attempts in flight
	attempts       []*attempt
}

// frontend serves client requests.
type frontend struct {
	loop         *Loop
	deploy       *wire.Deployment
	bodies       *bodyBudget // for request bodies
	uploads      *bodyBudget // for what streamed bodies need
	ready        atomic.Bool
	shuttingDown atomic.Bool // permanently: connections are closed after their response
	draining     atomic.Bool // by an operator, who may end it
}

// isReady reports whether clients should send requests here.
func (f *frontend) isReady() bool { return f.ready.Load() && !f.closesConnections() }

// closesConnections reports whether connections are closed after their response.
func (f *frontend) closesConnections() bool { return f.shuttingDown.Load() || f.draining.Load() }

// server returns the HTTP server for clients. Its WriteTimeout, which starts at the end of a request's header, covers
// only what the server itself responds to malformed headers: each response of the handler starts a timeout of its own.
func (f *frontend) server(clients *clientListener) *http.Server {
	return &http.Server{Handler: f, MaxHeaderBytes: maxHeaderBytes, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, WriteTimeout: writeTimeout, ConnState: clients.onStateChange,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, clientConnKey{}, conn)
		}}
}

// ServeHTTP serves a client request, or a readiness check.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if mayHideRequest(r) { // whatever it asks for: what is hidden would be read as the next request
		f.reject(w, errAmbiguousFraming, http.StatusBadRequest)
		return
	}
	if r.URL.Path == readyPath {
		f.serveReadiness(w, r)
		return
	}
	ex, status, err := f.readExchange(w, r)
	if err != nil {
		f.reject(w, err, status)
		return
	}
	defer f.releaseBody(ex)
	if r.Context().Err() != nil {
		respondDisconnected(w) // seen to disconnect during an earlier request on this connection
		return
	}
	if !f.loop.Post(requestArrived{f.loop, ex}) {
		respondStopped(w)
		return
	}
	select {
	case response := <-ex.reply:
		f.respond(w, r, ex, response)
	case <-r.Context().Done():
		f.loop.Post(clientDisconnected{f.loop, ex})
		if ex.upload != nil && !ex.upload.stop() {
			// The body did not end; the connection may still be open.
			w.Header().Set("Connection", "close")
			respondError(w, "the body did not come in time", http.StatusRequestTimeout)
			return
		}
		respondDisconnected(w)
	case <-f.loop.Stopped():
		if ex.upload != nil {
			ex.upload.stop()
		}
		respondStopped(w)
	}
}

// serveReadiness responds to a readiness check.
func (f *frontend) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if f.closesConnections() || isUnsupportedVersion(r) {
		w.Header().Set("Connection", "close")
	}
	if !f.isReady() {
		respondError(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	startWriteTimeout(w)
	io.WriteString(w, "ready\n")
}

// readExchange reads a request, or returns the status with which to reject it.
func (f *frontend) readExchange(w http.ResponseWriter, r *http.Request) (*exchange, int, error) {
	if isUnsupportedVersion(r) {
		return nil, http.StatusHTTPVersionNotSupported, errUnsupportedVersion
	}
	now := f.loop.Clock.Now()
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
		if err := f.readBody(w, r, ex); err != nil {
			f.releaseBody(ex)
			if errors.Is(err, errNoUploadMemory) {
				return nil, http.StatusServiceUnavailable, err
			}
			return nil, http.StatusBadRequest, fmt.Errorf("body: %w", err)
		}
		now = f.loop.Clock.Now() // the time limit starts with the last byte of the request
	} else {
		// The read timeout must not expire while the server watches for a disconnect.
		http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	// A client's time limit must not exceed that of its class: otherwise its request would outlast a shutdown.
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

// readBody reads a request's body, or its start if the body is to be streamed.
func (f *frontend) readBody(w http.ResponseWriter, r *http.Request, ex *exchange) (err error) {
	if r.ContentLength > 0 && r.ContentLength <= maxPreallocatedBody {
		ex.body, err = readShortBody(w, r)
		return err
	}
	ex.buffer.budget = f.bodies
	upload := newUpload(w, r, ex.conn, &ex.buffer)
	complete, err := upload.readBuffered()
	switch {
	case err != nil:
		return err
	case complete:
		ex.body = ex.buffer.bytes
	case !f.uploads.reserve(uploadMemory):
		return errNoUploadMemory
	default:
		upload.prefix = ex.buffer.bytes
		ex.upload, ex.request.Streamed = upload, true
	}
	return nil
}

// releaseBody gives back what the body of a request has reserved.
func (f *frontend) releaseBody(ex *exchange) {
	ex.buffer.free()
	if ex.upload != nil {
		f.uploads.release(uploadMemory)
	}
}

// clientConnKey is the context key of a request's connection.
type clientConnKey struct{}

var (
	errUnsupportedVersion = errors.New("HTTP/1.1 is wanted")
	errAmbiguousFraming   = errors.New("the length of the body is told in more than one way")
)

// isUnsupportedVersion reports whether a request is of HTTP/1.0 or earlier. That has other framing rules, and net/http
// silently drops a Transfer-Encoding there.
func isUnsupportedVersion(r *http.Request) bool { return !r.ProtoAtLeast(1, 1) }

// mayHideRequest reports whether the framing on a request's connection was ambiguous, so that the request
// may be used to smuggle another.
func mayHideRequest(r *http.Request) bool {
	conn := clientConnOf(r)
	return conn != nil && conn.ambiguous.Load()
}

// clientConnOf returns a request's connection, or nil if it is unknown.
func clientConnOf(r *http.Request) *clientConn {
	conn, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	return conn
}

// originForm returns the request target in origin form: an absolute one, as sent to a proxy, loses its
// scheme and host.
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

// parseHeaders reads the headers that the decision module needs. None has a default: a malformed request
// might be charged to the wrong customer, or be retried against its class.
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
	request.Deadline = float64(timeLeft) / 1000 // from the end of the request
	request.IsRetry = header.Get(repeatHeader) == "1"
	return request, f.parseTerms(&request, header.Get(termsHeader))
}

// parseTerms reads the units of a request and the gateways of its customer.
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

// hopByHopHeaders are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// endToEndHeaders removes the headers that belong to the connection from h and returns it.
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
