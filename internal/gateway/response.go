package gateway

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"elderyard/rules"
)

// response is what a client receives.
type response struct {
	status     int
	retryAfter float64 // seconds; 0: no Retry-After header
	reason     rules.Reason
	admittedAt float64 // when a rejected request was admitted by its quota
	header     http.Header
	body       []byte
	stream     *download // replaces body: the response is streamed
}

// respond sends the response that the loop has decided on.
func (f *frontend) respond(w http.ResponseWriter, r *http.Request, ex *exchange, response response) {
	// Evaluated now, since the request may have been open for a while.
	if f.closesConnections() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	if ex.upload != nil && !ex.upload.stop() {
		w.Header().Set("Connection", "close") // answered before its body was complete
	}
	if conn := clientConnOf(r); conn != nil {
		conn.markResponding()
	}
	if err := response.write(w); err != nil {
		panic(http.ErrAbortHandler) // tells the client that the response is truncated
	}
}

// reject responds to a request that is malformed, or for which there is no room. Bytes after it may be part of it, so the
// connection must close.
func (f *frontend) reject(w http.ResponseWriter, err error, status int) {
	w.Header().Set("Connection", "close")
	if status == http.StatusServiceUnavailable && f.deploy.CanSendRetryAfter {
		w.Header().Set("Retry-After", formatSeconds(f.deploy.MaxRetryAfter))
	}
	respondError(w, err.Error(), status)
}

// respondDisconnected ends the connection of a client that has disconnected, or that sends more without
// waiting for its response. Without a response from here the server would send 200, and a client that has
// only closed its sending side would take that for a backend's response.
func respondDisconnected(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	respondError(w, "the client ended its sending, or sent on, before its answer", http.StatusBadRequest)
}

// respondStopped responds to a request that the gateway can't serve any more.
func respondStopped(w http.ResponseWriter) {
	respondError(w, "the gateway has stopped", http.StatusInternalServerError)
}

// respondError responds with an error that the loop did not decide on.
func respondError(w http.ResponseWriter, text string, status int) {
	startWriteTimeout(w)
	http.Error(w, text, status)
}

// startWriteTimeout gives the client writeTimeout from now to take its response. It must precede every response: any
// earlier start would count the time that the request's body took, which may be minutes, and that of its attempts.
func startWriteTimeout(w http.ResponseWriter) {
	// Fails only for a connection without support for deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// formatSeconds formats a time for a Retry-After header, in whole milliseconds.
func formatSeconds(seconds float64) string {
	return strconv.FormatFloat(math.Ceil(seconds*1000)/1000, 'f', -1, 64)
}

// write sends the response to the client. It returns an error if a streamed response is incomplete.
func (response response) write(w http.ResponseWriter) error {
	startWriteTimeout(w)
	header := w.Header()
	for k, v := range response.header {
		header[k] = v
	}
	if response.status != http.StatusOK {
		if response.retryAfter > 0 {
			header["Retry-After"] = []string{formatSeconds(response.retryAfter)}
		}
		header["Content-Length"] = []string{"0"}
		w.WriteHeader(response.status)
		return nil
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil // the backend sent none, and sniffing costs time
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
	w.Write(response.body) // an error means that the client has disconnected
	return nil
}
