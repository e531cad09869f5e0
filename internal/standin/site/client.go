package site

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Request is a client's request.
type Request struct {
	ID, Method, Path, APIKey string
	// Model is set on requests to models.
	Model string
}

// Response is what a client saw of its request.
type Response struct {
	// Status is 0 where no answer came.
	Status int
	// NotExecuted tells that the answer says that no engine has run the request.
	NotExecuted bool
	// BodyComplete tells that the answer's body came to its proper end.
	BodyComplete bool
	Body         string
}

// ErrNotSent says that the request can't have reached the daemon.
var ErrNotSent = errors.New("the daemon can't be reached")

// NewHTTPRequest returns a call as it is sent to a daemon.
func NewHTTPRequest(ctx context.Context, daemon string, c Request) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+daemon+c.Path, strings.NewReader("body"))
	if err != nil {
		return nil, err
	}
	r.Host = RouteHost
	r.Header.Set("Request-Id", c.ID)
	r.Header.Set("Deadline-Ms", "20000")
	r.Header.Set("Authorization", "Bearer "+c.APIKey)
	if c.Model != "" {
		r.Header.Set("Model", c.Model)
		r.Header.Set("Token-Counts", "100,10")
	}
	return r, nil
}

// Send sends a call to a daemon. The client keeps its connections as the given
// HTTP client does.
func Send(ctx context.Context, client *http.Client, daemon string, c Request) (Response, error) {
	r, err := NewHTTPRequest(ctx, daemon, c)
	if err != nil {
		return Response{}, err
	}
	resp, err := client.Do(r)
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return Response{
		Status: resp.StatusCode, NotExecuted: resp.Header.Get("Not-Executed") != "",
		BodyComplete: err == nil, Body: string(body),
	}, nil
}

// CheckStream returns an error unless the body of a whole stream holds the
// events 1 to n, each once and in order.
func CheckStream(body string, n int) error {
	at := 0
	for line := range strings.Lines(body) {
		number, ok := strings.CutPrefix(strings.TrimSpace(line), "id: ")
		if !ok {
			continue
		}
		got, err := strconv.Atoi(number)
		if err != nil || got != at+1 {
			return fmt.Errorf("event %q follows event %d", number, at)
		}
		at = got
	}
	if at != n {
		return fmt.Errorf("%d of %d events", at, n)
	}
	return nil
}
