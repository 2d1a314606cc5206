package recordsync

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"elderyard/records"
)

// requestTarget returns the path and query of a request.
func requestTarget(request records.Request) (string, error) {
	switch request := request.(type) {
	case records.ChangesRequest:
		return ChangesPath + "?" + formatChangesQuery(request).Encode(), nil
	case records.DigestsRequest:
		return RangesPath, nil
	case records.ContentRequest:
		return ContentPath + "?" + formatContentQuery(request).Encode(), nil
	}
	return "", fmt.Errorf("a request of type %T is not known", request)
}

// parseChangesQuery decodes a query of formatChangesQuery. It reduces a wait above records.MaxWait
// to that.
func parseChangesQuery(query url.Values) (records.ChangesRequest, error) {
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	if err != nil {
		return records.ChangesRequest{}, fmt.Errorf("since=%.32q is no version", query.Get("since"))
	}
	request := records.ChangesRequest{Since: since}
	if text := query.Get("digest"); text != "" {
		digest, err := records.ParseDigest(text)
		if err != nil {
			return records.ChangesRequest{}, err
		}
		request.Digest = &digest
	}
	if text := query.Get("wait_ms"); text != "" {
		millis, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return records.ChangesRequest{}, fmt.Errorf("wait_ms=%.32q is no number of milliseconds", text)
		}
		request.Wait = min(time.Duration(millis)*time.Millisecond, records.MaxWait)
	}
	return request, nil
}

// formatChangesQuery encodes a request for changes as a query.
func formatChangesQuery(request records.ChangesRequest) url.Values {
	query := url.Values{"since": {strconv.FormatUint(request.Since, 10)}}
	if request.Digest != nil {
		query.Set("digest", request.Digest.String())
	}
	if request.Wait > 0 {
		query.Set("wait_ms", strconv.FormatInt(request.Wait.Milliseconds(), 10))
	}
	return query
}

// parseContentQuery decodes a query of formatContentQuery.
func parseContentQuery(query url.Values) (records.ContentRequest, error) {
	ranges, err := records.ParseRanges(query.Get("ranges"))
	if err != nil {
		return records.ContentRequest{}, err
	}
	maxBytes, err := strconv.ParseUint(query.Get("max_bytes"), 10, 31)
	if err != nil {
		return records.ContentRequest{}, fmt.Errorf("max_bytes=%.32q is no number of bytes", query.Get("max_bytes"))
	}
	return records.ContentRequest{Ranges: ranges, MaxBytes: int(maxBytes)}, nil
}

// formatContentQuery encodes a request for content as a query.
func formatContentQuery(request records.ContentRequest) url.Values {
	return url.Values{"ranges": {records.FormatRanges(request.Ranges)}, "max_bytes": {strconv.Itoa(request.MaxBytes)}}
}
