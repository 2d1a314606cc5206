package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"runtime"
	"sync/atomic"

	"github.com/spf13/cobra"
)

// reverseProxyCommand is the baseline of `elderctl lab bench`: the standard
// library's proxy as it comes, on one core. Its transport keeps as many idle
// connections as are in use, since two for each backend, the default, would make
// it dial for most requests.
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
			var urls []*url.URL
			for _, b := range backends {
				urls = append(urls, &url.URL{Scheme: "http", Host: b})
			}
			if len(urls) == 0 {
				return usageError(fmt.Errorf("--backends names none"))
			}
			var next atomic.Uint64
			transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
			proxy := &httputil.ReverseProxy{Transport: transport, Rewrite: func(r *httputil.ProxyRequest) {
				r.SetURL(urls[next.Add(1)%uint64(len(urls))])
			}}
			mux := http.NewServeMux()
			mux.HandleFunc("/health/ready", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ready\n") })
			mux.Handle("/", proxy)
			server := &http.Server{Addr: listen, Handler: mux}
			stop := make(chan struct{})
			go func() {
				defer close(stop)
				<-cmd.Context().Done()
				server.Close()
			}()
			err := server.ListenAndServe()
			if cmd.Context().Err() != nil {
				<-stop
				return nil
			}
			return operationError(err)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "", "address")
	cmd.Flags().StringSliceVar(&backends, "backends", nil, "addresses")
	return cmd
}
