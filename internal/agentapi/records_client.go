package agentapi

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"elderyard/records"
)

// ChangeRecords makes one change of the records. A call whose response is lost is retried
// with the same idempotency key until ctx ends.
func (c *Client) ChangeRecords(ctx context.Context, change RecordsChange) (result records.Result, err error) {
	err = c.callUntilAnswered(ctx, RecordsChangePath, change, &result)
	return result, err
}

// Record returns the record with a key, or an empty list if there is none.
func (c *Client) Record(ctx context.Context, key records.Key) (list RecordsList, err error) {
	query := url.Values{"key": {key.String()}}
	err = c.call(ctx, http.MethodGet, RecordsGetPath+"?"+query.Encode(), nil, &list)
	return list, err
}

// ListRecords returns at most limit records of a kind whose names begin with a prefix. A
// limit of 0 means as many as an agent returns in one response.
func (c *Client) ListRecords(ctx context.Context, kind records.Kind, prefix string, limit int) (list RecordsList, err error) {
	query := url.Values{"kind": {string(kind)}, "prefix": {prefix}, "limit": {strconv.Itoa(limit)}}
	err = c.call(ctx, http.MethodGet, RecordsListPath+"?"+query.Encode(), nil, &list)
	return list, err
}

// RecordsVersions returns at most limit of the most recent accepted changes. A limit of 0
// means all in the history.
func (c *Client) RecordsVersions(ctx context.Context, limit int) (versions RecordsVersions, err error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	err = c.call(ctx, http.MethodGet, RecordsVersionsPath+"?"+query.Encode(), nil, &versions)
	return versions, err
}

// RecordsDiff returns the records that changed after version from, up to version to. If to
// is 0, it means the newest version.
func (c *Client) RecordsDiff(ctx context.Context, from, to uint64) (diff RecordsDiff, err error) {
	query := url.Values{"from": {strconv.FormatUint(from, 10)}, "to": {strconv.FormatUint(to, 10)}}
	err = c.call(ctx, http.MethodGet, RecordsDiffPath+"?"+query.Encode(), nil, &diff)
	return diff, err
}

// RecordsLag returns the agents with the state of their copies of the records.
func (c *Client) RecordsLag(ctx context.Context) (lag RecordsLag, err error) {
	err = c.call(ctx, http.MethodGet, RecordsLagPath, nil, &lag)
	return lag, err
}
