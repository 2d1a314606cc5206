package leader

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"elderyard/internal/wait"
)

const (
	// ServicePollInterval is the time between two reads of the service level.
	ServicePollInterval = time.Second
	serviceTimeout      = 2 * time.Second
	maxServiceBytes     = 64 // of a response
)

// WatchService polls the site's service level from a URL while this voter leads, until
// ctx ends. A failed read is logged and otherwise ignored: an unavailable monitor neither
// delays a rollout nor rolls it back.
func (l *Leader) WatchService(ctx context.Context, url string) {
	client := &http.Client{Timeout: serviceTimeout}
	defer client.CloseIdleConnections()
	available := true
	for wait.For(ctx, ServicePollInterval) {
		if !l.store.IsLeader() {
			continue
		}
		level, err := readServiceLevel(ctx, client, url)
		if (err == nil) != available {
			available = err == nil
			l.log.Warn("availability of the service level monitor changed", "available", available, "error", err)
		}
		if err == nil {
			// On an error this voter no longer leads. The next leader polls as well.
			_ = l.setServiceLevel(ctx, level)
		}
	}
}

// readServiceLevel reads the service level from a URL: a number from 0 to 1 as plain text.
func readServiceLevel(ctx context.Context, client *http.Client, url string) (float64, error) {
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
		return 0, fmt.Errorf("%s responded %s with %.40q, want 200 and a number from 0 to 1", url, resp.Status, text)
	}
	return level, nil
}
