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

// maxErrorTextBytes bounds what is read of a server's error, in bytes.
const maxErrorTextBytes = 256

// serverClient asks servers.
type serverClient struct {
	http *http.Client
	base func(server string) string // the URL of a server, without a path
}

// do sends a request to a server and returns the answer's body as it came. The
// body is bounded; whether it makes sense is for the follower to judge.
func (c *serverClient) do(ctx context.Context, server string, query records.Request) ([]byte, error) {
	target, err := requestTarget(query)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base(server)+target, nil)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", server, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, withoutURL(err) // the follower names the server
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorTextBytes))
		return nil, fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(text)))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, records.MaxMessageBytes+1))
	if err != nil {
		return nil, fmt.Errorf("answer: %w", err)
	}
	return body, nil
}

// withoutURL takes off what an HTTP client says of the call beside the cause.
func withoutURL(err error) error {
	var inner *url.Error
	if errors.As(err, &inner) {
		return inner.Err
	}
	return err
}
