package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"

	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// TrimmedError is the error of a read below the oldest record that is still kept.
type TrimmedError struct {
	Stream string
	From   uint64
	TrimmedResponse
}

// Error names the stream and the offsets.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("offset %d of stream %s is trimmed: the oldest of epoch %d is %d (start from a snapshot)",
		e.From, e.Stream, e.Epoch, e.Oldest)
}

type logClient struct{ *caller }

// NewLog returns a client of the log service.
func NewLog(o Options) (Log, error) {
	c, err := newCaller(o)
	if err != nil {
		return nil, err
	}
	return &logClient{caller: c}, nil
}

// Append implements Log.
func (l *logClient) Append(ctx context.Context, stream string, records [][]byte) (AppendResponse, error) {
	if len(records) == 0 || len(records) > MaxBatchRecords {
		return AppendResponse{}, fault.Invalid("records", "split the batch", "%d records, not 1 to %d", len(records), MaxBatchRecords)
	}
	body, err := json.Marshal(AppendRequest{Records: records})
	if err != nil {
		return AppendResponse{}, fault.Wrap(fault.Internal, err, "report this", "encode append").WithOutcome(fault.NotRun)
	}
	a, err := l.call(ctx, fasthttp.MethodPost, recordsPath(stream), body)
	if err != nil {
		return AppendResponse{}, err
	}
	var out AppendResponse
	if err := l.decode(a, &out); err != nil {
		return AppendResponse{}, err
	}
	return out, nil
}

// Read implements Log.
func (l *logClient) Read(ctx context.Context, stream string, from uint64, limit int) (ReadResponse, error) {
	path := fmt.Sprintf("%s?from=%d&max=%d", recordsPath(stream), from, limit)
	a, err := l.call(ctx, fasthttp.MethodGet, path, nil)
	if err != nil {
		return ReadResponse{}, err
	}
	if a.status == fasthttp.StatusGone {
		return ReadResponse{}, l.trimmed(a, stream, from)
	}
	var out ReadResponse
	if err := l.decode(a, &out); err != nil {
		return ReadResponse{}, err
	}
	return out, nil
}

func (l *logClient) trimmed(a answer, stream string, from uint64) error {
	t := &TrimmedError{Stream: stream, From: from}
	if err := json.Unmarshal(a.body, &t.TrimmedResponse); err != nil {
		return fault.Wrap(fault.Internal, err, "check that the URL names the log service", "answer of %s", l.base)
	}
	return t
}

func recordsPath(stream string) string {
	return "/v1/streams/" + url.PathEscape(stream) + "/records"
}
