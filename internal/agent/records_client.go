package agent

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"elderyard/internal/agentapi"
	"elderyard/records"
)

// ChangeRecords makes one change of the records. A call whose answer is lost is
// repeated under its request key for as long as ctx holds.
func (c *Client) ChangeRecords(ctx context.Context, change agentapi.RecordsChange) (result records.Result, err error) {
	for {
		err = c.call(ctx, http.MethodPost, recordsChangePath, change, &result)
		var f *Failure
		if err == nil || !errors.As(err, &f) || f.Code != codeOutcomeUnknown && f.Code != codeUnreachable {
			return result, err
		}
		select {
		case <-ctx.Done():
			return result, err
		case <-time.After(retryDelay):
		}
	}
}

// Record gets one record; the list is empty where there is none.
func (c *Client) Record(ctx context.Context, key records.Key) (list agentapi.RecordsList, err error) {
	query := url.Values{"key": {key.String()}}
	return list, c.call(ctx, http.MethodGet, recordsGetPath+"?"+query.Encode(), nil, &list)
}

// RecordsOf lists records of a kind whose names begin with a prefix, at most limit
// of them; a limit of 0 means as many as are given at once.
func (c *Client) RecordsOf(ctx context.Context, kind records.Kind, prefix string, limit int) (list agentapi.RecordsList, err error) {
	query := url.Values{"kind": {string(kind)}, "prefix": {prefix}, "limit": {strconv.Itoa(limit)}}
	return list, c.call(ctx, http.MethodGet, recordsListPath+"?"+query.Encode(), nil, &list)
}

// RecordsVersions lists the newest accepted changes, at most limit of them; a limit
// of 0 means all that are kept.
func (c *Client) RecordsVersions(ctx context.Context, limit int) (versions agentapi.RecordsVersions, err error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	return versions, c.call(ctx, http.MethodGet, recordsVersionsPath+"?"+query.Encode(), nil, &versions)
}

// RecordsDiff tells which records changed above one version and up to another; 0
// as the second means the newest.
func (c *Client) RecordsDiff(ctx context.Context, from, to uint64) (diff agentapi.RecordsDiff, err error) {
	query := url.Values{"from": {strconv.FormatUint(from, 10)}, "to": {strconv.FormatUint(to, 10)}}
	return diff, c.call(ctx, http.MethodGet, recordsDiffPath+"?"+query.Encode(), nil, &diff)
}

// RecordsLag tells which agents have the newest records.
func (c *Client) RecordsLag(ctx context.Context) (lag agentapi.RecordsLag, err error) {
	return lag, c.call(ctx, http.MethodGet, recordsLagPath, nil, &lag)
}
