package peers

import (
	"context"
	"encoding/json"
	"errors"
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

// QueryResult is one process's response, or the error of the query.
type QueryResult struct {
	Name     string          `json:"name,omitempty"` // of the member; "" if it is unknown
	Address  string          `json:"at"`             // of its admin interface
	Status   *Status         `json:"answer,omitempty"`
	Evidence *EvidenceReport `json:"why,omitempty"`
	Error    string          `json:"trouble,omitempty"`
}

// QueryStatus requests the status of the process with that admin address. An error begins with the address.
func QueryStatus(ctx context.Context, address string) (status Status, err error) {
	err = getJSON(ctx, address, StatusPath, &status)
	return status, err
}

// QueryEvidence requests the evidence on a member, or on all for "", from the process with that admin address. An error
// begins with the address.
func QueryEvidence(ctx context.Context, address, name string) (report EvidenceReport, err error) {
	err = getJSON(ctx, address, EvidencePath+"?name="+url.QueryEscape(name), &report)
	return report, err
}

// QueryAllStatus requests the status of the processes at these admin addresses and, repeatedly, of all members that the
// responses name. The results are sorted by name and address. The result of a process that does not respond has an
// Error.
func QueryAllStatus(ctx context.Context, addresses []string) []QueryResult {
	var results []QueryResult
	queried := map[string]bool{}
	names := map[string]string{} // by address
	for next := addresses; len(next) > 0 && len(results) <= members.MaxRosterSize; {
		next = slices.DeleteFunc(slices.Clone(next), func(address string) bool {
			seen := queried[address]
			queried[address] = true
			return seen
		})
		round := inParallel(next, func(address string) QueryResult {
			status, err := QueryStatus(ctx, address)
			if err != nil {
				return QueryResult{Name: names[address], Address: address, Error: err.Error()}
			}
			return QueryResult{Name: status.View.Self, Address: address, Status: &status}
		})
		results = append(results, round...)
		next = nil
		for _, r := range round {
			if r.Status == nil {
				continue
			}
			for _, v := range r.Status.View.Members {
				if address := adminAddressOf(v); address != "" && !v.Self && !queried[address] {
					names[address] = v.Name
					next = append(next, address)
				}
			}
		}
		slices.Sort(next)
		next = slices.Compact(next)
	}
	slices.SortFunc(results, func(a, b QueryResult) int { return strings.Compare(a.Name+" "+a.Address, b.Name+" "+b.Address) })
	return results
}

// QueryAllEvidence finds processes like QueryAllStatus, and requests the evidence on a member, or on all for "", from
// each one that responds.
func QueryAllEvidence(ctx context.Context, addresses []string, name string) []QueryResult {
	results := QueryAllStatus(ctx, addresses)
	indexOf := map[string]int{} // by address
	var responding []string
	for i, r := range results {
		if r.Status != nil {
			indexOf[r.Address] = i
			responding = append(responding, r.Address)
		}
	}
	for _, evidence := range inParallel(responding, func(address string) QueryResult {
		report, err := QueryEvidence(ctx, address, name)
		if err != nil {
			return QueryResult{Address: address, Error: err.Error()}
		}
		return QueryResult{Address: address, Evidence: &report}
	}) {
		r := &results[indexOf[evidence.Address]]
		r.Evidence, r.Error = evidence.Evidence, evidence.Error
	}
	return results
}

// errNoMembership is the error for a process that does not serve the admin interface of this package.
var errNoMembership = errors.New("it knows no other gateways: it is not elderyard-peers, or has no [peers]")

// getJSON requests a path of a process's admin interface and decodes the response.
func getJSON(ctx context.Context, address, path string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w", address, err)
	case resp.StatusCode == http.StatusNotFound:
		return fmt.Errorf("%s: %w", address, errNoMembership)
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("%s: %s: %s", address, resp.Status, strings.TrimSpace(string(text)))
	}
	if err := json.Unmarshal(text, result); err != nil {
		return fmt.Errorf("%s: what it told can't be read: %w", address, err)
	}
	return nil
}

// adminAddressOf returns the address of a member's admin interface, or "" if it has none or an invalid one. For an
// admin interface that listens on all addresses, it is the address at which other members reach the member.
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

// inParallel returns the results of a function for each input, in order. At most maxConcurrentQueries calls run at a
// time.
func inParallel[T any](inputs []string, do func(string) T) []T {
	results := make([]T, len(inputs))
	slots := make(chan struct{}, maxConcurrentQueries)
	var wg sync.WaitGroup
	for i, text := range inputs {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			results[i] = do(text)
		})
	}
	wg.Wait()
	return results
}
