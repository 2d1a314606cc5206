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
	mostAnswer = 4 << 20
	askWithin  = 2 * time.Second
	askAtOnce  = 16
)

// Asked is what one process told, or why it did not.
type Asked struct {
	Name    string  `json:"name,omitempty"` // of the member; "" where nobody has named it
	At      string  `json:"at"`             // its operators' address
	Answer  *Answer `json:"answer,omitempty"`
	Why     *Why    `json:"why,omitempty"`
	Trouble string  `json:"trouble,omitempty"`
}

// Ask asks one process what it believes.
func Ask(ctx context.Context, at string) (a Answer, err error) {
	err = get(ctx, at, DeskPath, &a)
	return a, err
}

// AskWhy asks one process what it learned of a member; of all for "".
func AskWhy(ctx context.Context, at, name string) (w Why, err error) {
	err = get(ctx, at, WhyPath+"?name="+url.QueryEscape(name), &w)
	return w, err
}

func get(ctx context.Context, at, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, mostAnswer))
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

// Gather asks processes at some addresses, and all others that these know of.
func Gather(ctx context.Context, first []string) []Asked {
	var list []Asked
	seen := map[string]bool{}
	names := map[string]string{} // by address
	for next := first; len(next) > 0 && len(list) <= members.MostNames; {
		next = slices.DeleteFunc(slices.Clone(next), func(at string) bool { was := seen[at]; seen[at] = true; return was })
		round := inParallel(next, func(at string) Asked {
			a, err := Ask(ctx, at)
			if err != nil {
				return Asked{Name: names[at], At: at, Trouble: err.Error()}
			}
			return Asked{Name: a.Picture.Self, At: at, Answer: &a}
		})
		list = append(list, round...)
		next = nil
		for _, r := range round {
			if r.Answer == nil {
				continue
			}
			for _, v := range r.Answer.Picture.Members {
				if at := deskOf(v); at != "" && !v.Self && !seen[at] {
					names[at] = v.Name
					next = append(next, at)
				}
			}
		}
		slices.Sort(next)
		next = slices.Compact(next)
	}
	slices.SortFunc(list, func(a, b Asked) int { return strings.Compare(a.Name+" "+a.At, b.Name+" "+b.At) })
	return list
}

// deskOf is where a member's operators call. One that listens on all addresses is
// found at that which others reach it at.
func deskOf(v members.View) string {
	host, port, err := net.SplitHostPort(v.Desk)
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
	slots := make(chan struct{}, askAtOnce)
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

// GatherWhy asks all that Gather finds what they learned of a member.
func GatherWhy(ctx context.Context, first []string, name string) []Asked {
	all := Gather(ctx, first)
	by := map[string]int{}
	var at []string
	for i, a := range all {
		if a.Answer != nil {
			by[a.At] = i
			at = append(at, a.At)
		}
	}
	for _, told := range inParallel(at, func(at string) Asked {
		w, err := AskWhy(ctx, at, name)
		if err != nil {
			return Asked{At: at, Trouble: err.Error()}
		}
		return Asked{At: at, Why: &w}
	}) {
		all[by[told.At]].Why, all[by[told.At]].Trouble = told.Why, told.Trouble
	}
	return all
}
