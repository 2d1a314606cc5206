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
	maxOperatorConns    = 24                     // connections
	operatorCallTimeout = 900 * time.Millisecond // for a complete call and its response, which is due within 1 s
	maxOperatorBody     = 4 << 10                // bytes
	maxBackendID        = 256                    // bytes
)

var (
	errNeverListed = errors.New("no backend of this id was ever listed")
	errStopped     = errors.New("the gateway has stopped")
)

// operatorServer is the operator API, on an address of its own.
type operatorServer struct {
	frontend *frontend
	detached *detachedFile
	peers    Peers // nil: there are none
}

// handler routes the calls of the operator API.
func (o *operatorServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_ready", func(w http.ResponseWriter, r *http.Request) {
		if !o.frontend.isReady() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
		if o.peers != nil {
			fmt.Fprintln(w, o.peers.Summary())
		}
	})
	if o.peers != nil {
		mux.Handle(peersPath, o.peers.AdminHandler())
		mux.Handle(peersPath+"/", o.peers.AdminHandler())
	}
	mux.HandleFunc("POST /_backends/detach", func(w http.ResponseWriter, r *http.Request) { o.setDetached(w, r, true) })
	mux.HandleFunc("POST /_backends/attach", func(w http.ResponseWriter, r *http.Request) { o.setDetached(w, r, false) })
	mux.HandleFunc("POST /_lameduck/on", func(w http.ResponseWriter, r *http.Request) { o.setDraining(w, true) })
	mux.HandleFunc("POST /_lameduck/off", func(w http.ResponseWriter, r *http.Request) { o.setDraining(w, false) })
	return mux
}

func (o *operatorServer) setDraining(w http.ResponseWriter, on bool) {
	o.frontend.draining.Store(on)
	io.WriteString(w, "ok\n")
}

// setDetached detaches a backend or attaches it again. It responds once that has been stored and then
// applied by the loop. Stored first: otherwise the loop could apply an earlier change of the other process
// on top of it.
func (o *operatorServer) setDetached(w http.ResponseWriter, r *http.Request, detached bool) {
	var command struct {
		ID string `json:"id"`
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOperatorBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&command); err != nil {
		http.Error(w, fmt.Sprintf(`the body is not {"id":"ID"}: %v`, err), http.StatusBadRequest)
		return
	}
	if _, err := decoder.Token(); err != io.EOF {
		http.Error(w, "more than one value in the body", http.StatusBadRequest)
		return
	}
	if command.ID == "" || len(command.ID) > maxBackendID {
		http.Error(w, "id: it is empty or too long", http.StatusBadRequest)
		return
	}
	err := o.frontend.loop.sendDetachCommand(r.Context(), detachCommand{id: command.ID, checkOnly: true})
	if err == nil {
		err = o.detached.record(command.ID, detached)
	}
	if err == nil {
		err = o.frontend.loop.sendDetachCommand(r.Context(), detachCommand{id: command.ID, detach: detached})
	}
	switch {
	case err == nil:
		io.WriteString(w, "ok\n")
	case errors.Is(err, errNeverListed):
		http.Error(w, fmt.Sprintf("%q: %v", command.ID, err), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// serve handles calls until ctx ends. Idle and incomplete calls must not keep others out: their
// connections are replaced, and time out.
func (o *operatorServer) serve(ctx context.Context, l net.Listener) {
	clients := newClientListener(l, maxOperatorConns)
	server := &http.Server{Handler: o.handler(), ReadTimeout: operatorCallTimeout, WriteTimeout: 2 * operatorCallTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: clients.onStateChange, ErrorLog: log.New(io.Discard, "", 0)}
	server.SetKeepAlivesEnabled(false) // one call per connection
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(clients); err != nil && ctx.Err() == nil {
		log.Printf("operator API: %v", err)
	}
}

// followDetached applies the changes that the other process of an upgrade stores, until ctx ends.
func (o *operatorServer) followDetached(ctx context.Context) {
	tick := time.NewTicker(detachedPollInterval)
	defer tick.Stop()
	for {
		ids, changed, err := o.detached.readIfChanged()
		if err != nil {
			log.Print(err)
		}
		if changed {
			o.frontend.loop.Post(detachedUpdate{o.frontend.loop, ids})
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
