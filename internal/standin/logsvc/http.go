package logsvc

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/standin/host"
)

const (
	streamsPrefix = "/v1/streams/"
	recordsSuffix = "/records"
)

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/faults":
		s.handleFaults(ctx)
		return
	case "/v1/stats":
		host.ReplyJSON(ctx, fasthttp.StatusOK, s.Stats())
		return
	}
	name, ok := streamName(string(ctx.URI().PathOriginal()))
	if !ok {
		ctx.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	if !s.applyFaults(ctx) {
		return
	}
	if ctx.IsPost() {
		s.handleAppend(ctx, name)
		return
	}
	s.handleRead(ctx, name)
}

// streamName returns the name of the stream whose records are at path.
func streamName(path string) (string, bool) {
	name, ok := strings.CutPrefix(path, streamsPrefix)
	if !ok {
		return "", false
	}
	name, ok = strings.CutSuffix(name, recordsSuffix)
	if !ok || name == "" {
		return "", false
	}
	unescaped, err := url.PathUnescape(name)
	return unescaped, err == nil
}

func clientID(ctx *fasthttp.RequestCtx) string {
	return string(ctx.Request.Header.Peek(platform.HeaderClient))
}

// applyFaults applies the faults that precede a request's execution. It returns
// false if the request must not be executed.
func (s *Service) applyFaults(ctx *fasthttp.RequestCtx) bool {
	f := s.faults.forClient(clientID(ctx))
	if f.Hang {
		host.HangUntilClosed(ctx)
		return false
	}
	if !host.Delay(ctx, f.delay()) {
		return false
	}
	if f.Refuse {
		ctx.Error("refused by an injected fault", fasthttp.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *Service) handleAppend(ctx *fasthttp.RequestCtx, name string) {
	var req platform.AppendRequest
	if !host.ParseJSON(ctx, &req) {
		return
	}
	if len(req.Records) == 0 || len(req.Records) > platform.MaxBatchRecords {
		ctx.Error(fmt.Sprintf("%d records in one append; allowed are 1 to %d", len(req.Records), platform.MaxBatchRecords), fasthttp.StatusRequestEntityTooLarge)
		return
	}
	if !host.Delay(ctx, s.limiter.Reserve().Delay()) {
		return
	}
	gen := s.currentGeneration.Load()
	first := gen.stream(name).append(req.Records, time.Now(), s.opts)
	s.stats.appends.Add(1)
	s.stats.recordsIn.Add(int64(len(req.Records)))
	s.stats.bytesIn.Add(totalBytes(req.Records))
	if s.faults.dropsResponse(clientID(ctx)) {
		host.ResetConn(ctx)
		return
	}
	host.ReplyJSON(ctx, fasthttp.StatusOK, platform.AppendResponse{Epoch: gen.epoch, First: first})
}

func totalBytes(records [][]byte) int64 {
	n := 0
	for _, r := range records {
		n += len(r)
	}
	return int64(n)
}

func (s *Service) handleRead(ctx *fasthttp.RequestCtx, name string) {
	args := ctx.QueryArgs()
	from := uint64(max(args.GetUintOrZero("from"), 0))
	limit := args.GetUintOrZero("max")
	if limit <= 0 || limit > platform.MaxBatchRecords {
		limit = platform.MaxBatchRecords
	}
	gen := s.currentGeneration.Load()
	response, ok := gen.stream(name).read(from, limit, time.Now(), s.opts)
	response.Epoch = gen.epoch
	s.stats.reads.Add(1)
	if !ok {
		host.ReplyJSON(ctx, fasthttp.StatusGone, platform.TrimmedResponse{Epoch: response.Epoch, Oldest: response.Oldest, Next: response.Next})
		return
	}
	s.stats.recordsOut.Add(int64(len(response.Records)))
	for _, r := range response.Records {
		s.stats.bytesOut.Add(int64(len(r.Data)))
	}
	host.ReplyJSON(ctx, fasthttp.StatusOK, response)
}

func (s *Service) handleFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		host.ReplyJSON(ctx, fasthttp.StatusOK, s.faults.get())
		return
	}
	var req FaultsRequest
	if !host.ParseJSON(ctx, &req) {
		return
	}
	s.SetFaults(req.Faults)
	if req.Trim != nil {
		s.Trim(req.Trim.Stream, req.Trim.Keep)
	}
	if req.NewEpoch {
		s.StartNewEpoch()
	}
	host.ReplyJSON(ctx, fasthttp.StatusOK, s.faults.get())
}
