package main

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"runtime"
	"sync/atomic"

	"github.com/spf13/cobra"
)

// reverseProxyCommand returns the hidden command that is the baseline of 'elderctl lab bench': the reverse proxy of the
// standard library on one core.
func reverseProxyCommand() *cobra.Command {
	var listen string
	var backends []string
	cmd := &cobra.Command{
		Use:    "reverse-proxy",
		Short:  "The baseline of 'elderctl lab bench'",
		Hidden: true,
		Args:   noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			runtime.GOMAXPROCS(1)
			if len(backends) == 0 {
				return usageError(errors.New("--backends names none"))
			}
			return operationError(serveUntilDone(cmd.Context(), &http.Server{Addr: listen, Handler: baselineProxy(backends)}))
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "", "address")
	cmd.Flags().StringSliceVar(&backends, "backends", nil, "addresses")
	return cmd
}

// baselineProxy returns a round-robin proxy for the backends that answers the readiness check itself.
func baselineProxy(backends []string) http.Handler {
	var urls []*url.URL
	for _, backend := range backends {
		urls = append(urls, &url.URL{Scheme: "http", Host: backend})
	}
	var next atomic.Uint64
	// The default of two idle connections for each backend would make the proxy dial for most requests.
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	proxy := &httputil.ReverseProxy{Transport: transport, Rewrite: func(r *httputil.ProxyRequest) {
		r.SetURL(urls[next.Add(1)%uint64(len(urls))])
	}}
	mux := http.NewServeMux()
	mux.HandleFunc("/health/ready", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ready\n") })
	mux.Handle("/", proxy)
	return mux
}

// serveUntilDone serves until ctx is done, and then closes the server and returns nil.
func serveUntilDone(ctx context.Context, server *http.Server) error {
	closed := make(chan struct{})
	go func() { // ends with ctx
		defer close(closed)
		<-ctx.Done()
		server.Close()
	}()
	err := server.ListenAndServe()
	if ctx.Err() != nil {
		<-closed
		return nil
	}
	return err
}
