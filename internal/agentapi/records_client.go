package agentapi

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"elderyard/records"
)

// ChangeRecords makes one change of the records. A call whose answer is lost is
// retried with the same idempotency key until ctx ends.
func (c *Client) ChangeRecords(ctx context.Context, change RecordsChange) (result records.Result, err error) {
	for {
		err = c.call(ctx, http.MethodPost, RecordsChangePath, change, &result)
		var f *Failure
		if err == nil || !errors.As(err, &f) || f.Code != CodeOutcomeUnknown && f.Code != CodeUnreachable {
			return result, err
		}
		select {
		case <-ctx.Done():
			return result, err
		case <-time.After(retryInterval):
		}
	}
}

// Record returns one record; the list is empty where there is none.
func (c *Client) Record(ctx context.Context, key records.Key) (list RecordsList, err error) {
	query := url.Values{"key": {key.String()}}
	return list, c.call(ctx, http.MethodGet, RecordsGetPath+"?"+query.Encode(), nil, &list)
}

// RecordsOf returns records of a kind whose names begin with a prefix, at most limit
// of them; a limit of 0 means as many as an agent returns at once.
func (c *Client) RecordsOf(ctx context.Context, kind records.Kind, prefix string, limit int) (list RecordsList, err error) {
	query := url.Values{"kind": {string(kind)}, "prefix": {prefix}, "limit": {strconv.Itoa(limit)}}
	return list, c.call(ctx, http.MethodGet, RecordsListPath+"?"+query.Encode(), nil, &list)
}

// RecordsVersions returns the newest accepted changes, at most limit of them; a limit
// of 0 means all in the history.
func (c *Client) RecordsVersions(ctx context.Context, limit int) (versions RecordsVersions, err error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	return versions, c.call(ctx, http.MethodGet, RecordsVersionsPath+"?"+query.Encode(), nil, &versions)
}

// RecordsDiff returns which records changed above one version and up to another; 0
// as the second means the newest.
func (c *Client) RecordsDiff(ctx context.Context, from, to uint64) (diff RecordsDiff, err error) {
	query := url.Values{"from": {strconv.FormatUint(from, 10)}, "to": {strconv.FormatUint(to, 10)}}
	return diff, c.call(ctx, http.MethodGet, RecordsDiffPath+"?"+query.Encode(), nil, &diff)
}

// RecordsLag returns which agents have the newest records.
func (c *Client) RecordsLag(ctx context.Context) (lag RecordsLag, err error) {
	return lag, c.call(ctx, http.MethodGet, RecordsLagPath, nil, &lag)
}
