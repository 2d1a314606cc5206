package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"time"
)

const (
	mostCallers   = 24                     // connections to the operator's address
	callerTimeout = 900 * time.Millisecond // for a whole call and its answer: one is due within 1 s
	mostCallBody  = 4 << 10                // bytes
	mostBackendID = 256                    // bytes
)

var (
	errNeverListed = errors.New("no backend of this id was ever listed")
	errStopped     = errors.New("the gateway has stopped")
)

// operator answers the calls of the operators' staff on an address of its own.
type operator struct {
	front   *frontend
	book    *handBook
	fellows Peers // nil: it knows of none
}

// handler has one entry for each call. Whatever is no call gets a no.
func (o *operator) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_ready", func(w http.ResponseWriter, r *http.Request) {
		if !o.front.serves() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
		if o.fellows != nil {
			fmt.Fprintln(w, o.fellows.Summary())
		}
	})
	if o.fellows != nil {
		mux.Handle(fellowsPath, o.fellows.AdminHandler())
		mux.Handle(fellowsPath+"/", o.fellows.AdminHandler())
	}
	mux.HandleFunc("POST /_backends/detach", func(w http.ResponseWriter, r *http.Request) { o.byHand(w, r, true) })
	mux.HandleFunc("POST /_backends/attach", func(w http.ResponseWriter, r *http.Request) { o.byHand(w, r, false) })
	mux.HandleFunc("POST /_lameduck/on", func(w http.ResponseWriter, r *http.Request) { o.lame(w, true) })
	mux.HandleFunc("POST /_lameduck/off", func(w http.ResponseWriter, r *http.Request) { o.lame(w, false) })
	return mux
}

func (o *operator) lame(w http.ResponseWriter, on bool) {
	o.front.lame.Store(on)
	io.WriteString(w, "ok\n")
}

// byHand takes a backend out or puts it back. The yes comes when it is written
// down and the loop has done it, not before. Danger: were it done first, a look at what
// the other process had noted before could undo it.
func (o *operator) byHand(w http.ResponseWriter, r *http.Request, out bool) {
	var call struct {
		ID string `json:"id"`
	}
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostCallBody))
	d.DisallowUnknownFields()
	if err := d.Decode(&call); err != nil {
		http.Error(w, fmt.Sprintf(`the body is not {"id":"ID"}: %v`, err), http.StatusBadRequest)
		return
	}
	if _, err := d.Token(); err != io.EOF {
		http.Error(w, "more than one value in the body", http.StatusBadRequest)
		return
	}
	if call.ID == "" || len(call.ID) > mostBackendID {
		http.Error(w, "id: it is empty or too long", http.StatusBadRequest)
		return
	}
	err := o.front.loop.byHand(r.Context(), handCall{id: call.ID, ask: true})
	if err == nil {
		err = o.book.note(call.ID, out)
	}
	if err == nil {
		err = o.front.loop.byHand(r.Context(), handCall{id: call.ID, out: out})
	}
	switch {
	case err == nil:
		io.WriteString(w, "ok\n")
	case errors.Is(err, errNeverListed):
		http.Error(w, fmt.Sprintf("%q: %v", call.ID, err), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// serve answers calls until ctx ends. Danger: callers that say nothing, or half of
// a call, must not keep a real one out: they are replaced, and cut off in time.
func (o *operator) serve(ctx context.Context, l net.Listener) {
	callers := newClients(l, mostCallers)
	server := &http.Server{Handler: o.handler(), ReadTimeout: callerTimeout, WriteTimeout: 2 * callerTimeout,
		MaxHeaderBytes: mostHeader, ConnState: callers.state, ErrorLog: log.New(io.Discard, "", 0)}
	server.SetKeepAlivesEnabled(false) // one call to a connection
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(callers); err != nil && ctx.Err() == nil {
		log.Printf("the operator's address: %v", err)
	}
}

// follow has the loop do what another process of an upgrade noted, until ctx ends.
func (o *operator) follow(ctx context.Context) {
	tick := time.NewTicker(handLook)
	defer tick.Stop()
	for {
		ids, changed, err := o.book.changed()
		if err != nil {
			log.Print(err)
		}
		if changed {
			o.front.loop.Post(outByHand{o.front.loop, ids})
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
