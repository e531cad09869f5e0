package site

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Request is a client's request to a daemon.
type Request struct {
	ID, Method, Path, APIKey string
	// Model is the model of a generate request, empty for other requests.
	Model string
	// Body is the request's body; "body" if it is empty.
	Body string
	// Parts are the parts of the prompt, each as ID:TOKENS.
	Parts []string
}

// Response is a daemon's response as the client received it.
type Response struct {
	// Status is 0 if there was no response.
	Status int
	// NotExecuted is set if the response guarantees that no engine has executed
	// the request.
	NotExecuted bool
	// BodyComplete is set if the body was received to its end.
	BodyComplete bool
	Body         string
}

// ErrNoResponse wraps an error of the HTTP client that left no response.
var ErrNoResponse = errors.New("no response from the daemon")

// NewHTTPRequest returns the HTTP request to the daemon at the given address.
func NewHTTPRequest(ctx context.Context, daemon string, request Request) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, request.Method, "http://"+daemon+request.Path, strings.NewReader(cmp.Or(request.Body, "body")))
	if err != nil {
		return nil, err
	}
	r.Host = RouteHost
	r.Header.Set("Request-Id", request.ID)
	r.Header.Set("Deadline-Ms", "20000")
	r.Header.Set("Authorization", "Bearer "+request.APIKey)
	if request.Model != "" {
		r.Header.Set("Model", request.Model)
		r.Header.Set("Token-Counts", "100,10")
	}
	if len(request.Parts) > 0 {
		r.Header.Set("Prompt-Prefix", strings.Join(request.Parts, ","))
	}
	return r, nil
}

// Send sends a request to the daemon at the given address and reads the response.
// A truncated body is reported by BodyComplete, not as an error.
func Send(ctx context.Context, client *http.Client, daemon string, request Request) (Response, error) {
	r, err := NewHTTPRequest(ctx, daemon, request)
	if err != nil {
		return Response{}, err
	}
	resp, err := client.Do(r)
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return Response{
		Status: resp.StatusCode, NotExecuted: resp.Header.Get("Not-Executed") != "",
		BodyComplete: err == nil, Body: string(body),
	}, nil
}

// CheckStream returns an error unless the body of a complete stream holds the
// given number of events, each once and in order of their ids, from 1.
func CheckStream(body string, events int) error {
	lastID := 0
	for line := range strings.Lines(body) {
		id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: ")
		if !ok {
			continue
		}
		eventID, err := strconv.Atoi(id)
		if err != nil || eventID != lastID+1 {
			return fmt.Errorf("event id %q follows event %d", id, lastID)
		}
		lastID = eventID
	}
	if lastID != events {
		return fmt.Errorf("stream ended after %d of %d events", lastID, events)
	}
	return nil
}
