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

// Call is a client's request.
type Call struct {
	ID, Method, Path, Key string
	// Model is set on requests to models.
	Model string
}

// Outcome is what a client saw of its request.
type Outcome struct {
	// Status is 0 where no answer came.
	Status int
	// NotRun tells that the answer says that no engine has run the request.
	NotRun bool
	// Whole tells that the answer's body came to its proper end.
	Whole bool
	Body  string
}

// ErrNotSent says that the request can't have reached the daemon.
var ErrNotSent = errors.New("the daemon can't be reached")

// NewRequest returns a call as it is sent to a daemon.
func NewRequest(ctx context.Context, daemon string, c Call) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+daemon+c.Path, strings.NewReader("body"))
	if err != nil {
		return nil, err
	}
	r.Host = Host
	r.Header.Set("Request-Id", c.ID)
	r.Header.Set("Deadline-Ms", "20000")
	r.Header.Set("Authorization", "Bearer "+c.Key)
	if c.Model != "" {
		r.Header.Set("Model", c.Model)
		r.Header.Set("Token-Counts", "100,10")
	}
	return r, nil
}

// Do sends a call to a daemon. The client keeps its connections as the given
// HTTP client does.
func Do(ctx context.Context, client *http.Client, daemon string, c Call) (Outcome, error) {
	r, err := NewRequest(ctx, daemon, c)
	if err != nil {
		return Outcome{}, err
	}
	resp, err := client.Do(r)
	if err != nil {
		return Outcome{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return Outcome{
		Status: resp.StatusCode, NotRun: resp.Header.Get("Not-Executed") != "",
		Whole: err == nil, Body: string(body),
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
