package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"elderyard/internal/wait"
	"elderyard/rollout"
)

const (
	servicePollInterval = time.Second
	serviceTimeout      = 2 * time.Second
	maxServiceBytes     = 64 // bytes of an answer
)

// watchService reads the site's level of service while this voter leads, until
// ctx ends. What can't be read says nothing: a rollout is not held up, nor
// turned back, by a monitor that is away.
func (a *Agent) watchService(ctx context.Context) {
	client := &http.Client{Timeout: serviceTimeout}
	defer client.CloseIdleConnections()
	silent := false
	for wait.For(ctx, servicePollInterval) {
		if !a.store.IsLeader() {
			continue
		}
		level, err := readService(ctx, client, a.config.ServiceFrom)
		if (err != nil) != silent {
			silent = err != nil
			a.log.Warn("the site's level of service", "known", !silent, "error", err)
		}
		if err == nil {
			// A refusal is of a voter that leads no more, or has no rollout.
			_ = a.inTerm(ctx, func(t *term) error {
				t.serviceLevel = level
				return t.step(ctx, rollout.ServiceReported{Level: level}, "")
			})
		}
	}
}

// readService gets one number from 0 to 1 as plain text.
func readService(ctx context.Context, client *http.Client, url string) (float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceBytes))
	if err != nil {
		return 0, err
	}
	level, err := strconv.ParseFloat(strings.TrimSpace(string(text)), 64)
	if err != nil || resp.StatusCode != http.StatusOK || !(level >= 0 && level <= 1) {
		return 0, fmt.Errorf("%s answers %s with %.40q, which is no number from 0 to 1", url, resp.Status, text)
	}
	return level, nil
}
