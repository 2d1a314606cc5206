package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"elderyard/internal/peers"
	"elderyard/internal/wait"
	"elderyard/members"
)

// watchInterval is the time between queries of all gateways.
const watchInterval = 500 * time.Millisecond

// peerChange is one line of 'elderctl peers watch'.
type peerChange struct {
	At      time.Time       `json:"at"`
	Name    string          `json:"name"`
	What    string          `json:"what"`
	Verdict members.Verdict `json:"verdict"`
}

func watchPeers(cmd *cobra.Command, addresses, _ []string) error {
	last := map[string]string{}
	for {
		for _, result := range peers.QueryAllStatus(cmd.Context(), addresses) {
			change := newPeerChange(result)
			if cmd.Context().Err() != nil || last[change.Name] == change.What {
				continue
			}
			last[change.Name] = change.What
			change.At = time.Now()
			err := printResult(cmd, change, func(out io.Writer) {
				fmt.Fprintf(out, "%s  %s  %s\n", change.At.Format(time.TimeOnly), change.Name, change.What)
			})
			if err != nil {
				return operationError(err)
			}
		}
		if !wait.For(cmd.Context(), watchInterval) {
			return context.Cause(cmd.Context())
		}
	}
}

// newPeerChange returns a line with the state of a gateway. The caller sets the time.
func newPeerChange(result peers.QueryResult) peerChange {
	if result.Status == nil {
		return peerChange{Name: nameOrAddress(result), What: "no answer", Verdict: members.Unsure}
	}
	view := &result.Status.View
	text := fmt.Sprintf("%v: %s; epoch %d, safe %d, likely %d", view.Verdict, view.Reason, view.Epoch, view.SafeCount, view.LikelyCount)
	return peerChange{Name: nameOrAddress(result), What: text, Verdict: view.Verdict}
}
