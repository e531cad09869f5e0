package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"

	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// TrimmedError is the error of a read that starts below the oldest retained
// record.
type TrimmedError struct {
	Stream string
	From   uint64
	TrimmedResponse
}

// Error implements the error interface.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("offset %d of stream %s was trimmed: the oldest offset of epoch %d is %d (start from a snapshot)",
		e.From, e.Stream, e.Epoch, e.Oldest)
}

type logClient struct{ *httpClient }

// NewLog returns a client of the log service.
func NewLog(o Options) (Log, error) {
	c, err := newHTTPClient(o)
	if err != nil {
		return nil, err
	}
	return &logClient{httpClient: c}, nil
}

// Append implements Log.
func (l *logClient) Append(ctx context.Context, stream string, records [][]byte) (AppendResponse, error) {
	if len(records) == 0 || len(records) > MaxBatchRecords {
		return AppendResponse{}, fault.Invalid("records", "split the batch", "batch of %d records, want 1 to %d", len(records), MaxBatchRecords)
	}
	body, err := json.Marshal(AppendRequest{Records: records})
	if err != nil {
		return AppendResponse{}, fault.Wrap(fault.Internal, err, "report this with the daemon's log", "encode an append request").WithOutcome(fault.NotRun)
	}
	resp, err := l.call(ctx, fasthttp.MethodPost, recordsPath(stream), body)
	if err != nil {
		return AppendResponse{}, err
	}
	var out AppendResponse
	if err := l.decode(resp, &out); err != nil {
		return AppendResponse{}, err
	}
	return out, nil
}

// Read implements Log.
func (l *logClient) Read(ctx context.Context, stream string, from uint64, limit int) (ReadResponse, error) {
	path := fmt.Sprintf("%s?from=%d&max=%d", recordsPath(stream), from, limit)
	resp, err := l.call(ctx, fasthttp.MethodGet, path, nil)
	if err != nil {
		return ReadResponse{}, err
	}
	if resp.status == fasthttp.StatusGone {
		return ReadResponse{}, l.trimmedError(resp, stream, from)
	}
	var out ReadResponse
	if err := l.decode(resp, &out); err != nil {
		return ReadResponse{}, err
	}
	return out, nil
}

// trimmedError converts a response with status 410 into a TrimmedError.
func (l *logClient) trimmedError(resp response, stream string, from uint64) error {
	t := &TrimmedError{Stream: stream, From: from}
	if err := json.Unmarshal(resp.body, &t.TrimmedResponse); err != nil {
		return fault.Wrap(fault.Internal, err, "check that the URL is that of the log service", "decode the response of %s", l.base)
	}
	return t
}

func recordsPath(stream string) string {
	return "/v1/streams/" + url.PathEscape(stream) + "/records"
}
