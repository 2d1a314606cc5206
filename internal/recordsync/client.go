package recordsync

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"elderyard/records"
)

// maxErrorTextBytes is the length to which the body of an error response is truncated.
const maxErrorTextBytes = 256

// serverClient sends requests to servers.
type serverClient struct {
	http    *http.Client
	baseURL func(server string) string // returns the URL of a server without a path
}

// statusError means that a server responded with a status other than 200.
type statusError struct {
	code   int
	status string // code and text
	body   string // truncated to maxErrorTextBytes
}

// Error returns the status and the body.
func (e *statusError) Error() string { return e.status + ": " + e.body }

// do sends a request to a server and returns the body of the response, of at most
// records.MaxMessageBytes+1 bytes, without decoding it. The error is a *statusError if the
// server responded with a status other than 200.
func (c *serverClient) do(ctx context.Context, server string, request records.Request) ([]byte, error) {
	target, err := requestTarget(request)
	if err != nil {
		return nil, err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL(server)+target, nil)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", server, err)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, withoutURL(err) // the follower adds the server's name
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorTextBytes))
		return nil, &statusError{code: response.StatusCode, status: response.Status, body: strings.TrimSpace(string(text))}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, records.MaxMessageBytes+1))
	if err != nil {
		return nil, fmt.Errorf("answer: %w", err)
	}
	return body, nil
}

// withoutURL strips the method and the URL from an error of the HTTP client.
func withoutURL(err error) error {
	if inner, ok := errors.AsType[*url.Error](err); ok {
		return inner.Err
	}
	return err
}
