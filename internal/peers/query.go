package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"elderyard/members"
)

const (
	maxResponseBytes     = 4 << 20
	queryTimeout         = 2 * time.Second
	maxConcurrentQueries = 16
)

// QueryResult is what one process told, or why it did not.
type QueryResult struct {
	Name     string          `json:"name,omitempty"` // of the member; "" where nobody has named it
	Address  string          `json:"at"`             // its operators' address
	Status   *Status         `json:"answer,omitempty"`
	Evidence *EvidenceReport `json:"why,omitempty"`
	Error    string          `json:"trouble,omitempty"`
}

// QueryStatus asks one process what it believes.
func QueryStatus(ctx context.Context, at string) (a Status, err error) {
	err = getJSON(ctx, at, StatusPath, &a)
	return a, err
}

// QueryEvidence asks one process what it learned of a member; of all for "".
func QueryEvidence(ctx context.Context, at, name string) (w EvidenceReport, err error) {
	err = getJSON(ctx, at, EvidencePath+"?name="+url.QueryEscape(name), &w)
	return w, err
}

// QueryAllStatus asks processes at some addresses, and all others that these know of.
func QueryAllStatus(ctx context.Context, first []string) []QueryResult {
	var list []QueryResult
	queried := map[string]bool{}
	names := map[string]string{} // by address
	for next := first; len(next) > 0 && len(list) <= members.MaxRosterSize; {
		next = slices.DeleteFunc(slices.Clone(next), func(at string) bool { was := queried[at]; queried[at] = true; return was })
		round := inParallel(next, func(at string) QueryResult {
			a, err := QueryStatus(ctx, at)
			if err != nil {
				return QueryResult{Name: names[at], Address: at, Error: err.Error()}
			}
			return QueryResult{Name: a.View.Self, Address: at, Status: &a}
		})
		list = append(list, round...)
		next = nil
		for _, r := range round {
			if r.Status == nil {
				continue
			}
			for _, v := range r.Status.View.Members {
				if at := adminAddressOf(v); at != "" && !v.Self && !queried[at] {
					names[at] = v.Name
					next = append(next, at)
				}
			}
		}
		slices.Sort(next)
		next = slices.Compact(next)
	}
	slices.SortFunc(list, func(a, b QueryResult) int { return strings.Compare(a.Name+" "+a.Address, b.Name+" "+b.Address) })
	return list
}

// QueryAllEvidence asks all that Gather finds what they learned of a member.
func QueryAllEvidence(ctx context.Context, first []string, name string) []QueryResult {
	all := QueryAllStatus(ctx, first)
	by := map[string]int{}
	var at []string
	for i, a := range all {
		if a.Status != nil {
			by[a.Address] = i
			at = append(at, a.Address)
		}
	}
	for _, result := range inParallel(at, func(at string) QueryResult {
		w, err := QueryEvidence(ctx, at, name)
		if err != nil {
			return QueryResult{Address: at, Error: err.Error()}
		}
		return QueryResult{Address: at, Evidence: &w}
	}) {
		all[by[result.Address]].Evidence, all[by[result.Address]].Error = result.Evidence, result.Error
	}
	return all
}

func getJSON(ctx context.Context, at, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+path, nil)
	if err != nil {
		return fmt.Errorf("%s: %w", at, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("%s: %w", at, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w", at, err)
	case resp.StatusCode == http.StatusNotFound:
		return fmt.Errorf("%s: it knows no other gateways: it is not elderyard-peers, or has no [peers]", at)
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("%s: %s: %s", at, resp.Status, strings.TrimSpace(string(text)))
	}
	if err := json.Unmarshal(text, v); err != nil {
		return fmt.Errorf("%s: what it told can't be read: %w", at, err)
	}
	return nil
}

// adminAddressOf is where a member's operators call. One that listens on all addresses is
// found at that which others reach it at.
func adminAddressOf(v members.MemberView) string {
	host, port, err := net.SplitHostPort(v.AdminAddress)
	if err != nil {
		return ""
	}
	if ip := net.ParseIP(host); host == "" || ip != nil && ip.IsUnspecified() {
		if host, _, err = net.SplitHostPort(v.Address); err != nil {
			return ""
		}
	}
	return net.JoinHostPort(host, port)
}

func inParallel[T any](list []string, do func(string) T) []T {
	results := make([]T, len(list))
	slots := make(chan struct{}, maxConcurrentQueries)
	var wg sync.WaitGroup
	for i, at := range list {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			results[i] = do(at)
		})
	}
	wg.Wait()
	return results
}
