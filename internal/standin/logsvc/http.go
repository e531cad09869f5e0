package logsvc

import (
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
	if !s.admit(ctx) {
		return
	}
	if ctx.IsPost() {
		s.append(ctx, name)
		return
	}
	s.read(ctx, name)
}

func streamName(path string) (string, bool) {
	name, ok := strings.CutPrefix(path, streamsPrefix)
	if !ok {
		return "", false
	}
	name, ok = strings.CutSuffix(name, recordsSuffix)
	if !ok || name == "" {
		return "", false
	}
	plain, err := url.PathUnescape(name)
	return plain, err == nil
}

func clientOf(ctx *fasthttp.RequestCtx) string {
	return string(ctx.Request.Header.Peek(platform.HeaderClient))
}

// admit applies the faults that act before a request is carried out.
func (s *Service) admit(ctx *fasthttp.RequestCtx) bool {
	f := s.faults.of(clientOf(ctx))
	if f.Hang {
		host.HangUntilClosed(ctx)
		return false
	}
	if !host.Delay(ctx, f.delay()) {
		return false
	}
	if f.Refuse {
		ctx.Error("refused", fasthttp.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *Service) append(ctx *fasthttp.RequestCtx, name string) {
	var req platform.AppendRequest
	if !host.ParseJSON(ctx, &req) {
		return
	}
	if len(req.Records) == 0 || len(req.Records) > platform.MaxBatchRecords {
		ctx.Error("wrong number of records", fasthttp.StatusRequestEntityTooLarge)
		return
	}
	if !host.Delay(ctx, s.limiter.Reserve().Delay()) {
		return
	}
	gen := s.current.Load()
	first := gen.stream(name).append(req.Records, time.Now(), s.opts)
	s.stats.appends.Add(1)
	s.stats.recordsIn.Add(int64(len(req.Records)))
	s.stats.bytesIn.Add(size(req.Records))
	if s.faults.loseAnswer(clientOf(ctx)) {
		host.ResetConn(ctx)
		return
	}
	host.ReplyJSON(ctx, fasthttp.StatusOK, platform.AppendResponse{Epoch: gen.epoch, First: first})
}

func size(records [][]byte) int64 {
	n := 0
	for _, r := range records {
		n += len(r)
	}
	return int64(n)
}

func (s *Service) read(ctx *fasthttp.RequestCtx, name string) {
	args := ctx.QueryArgs()
	from := uint64(max(args.GetUintOrZero("from"), 0))
	limit := args.GetUintOrZero("max")
	if limit <= 0 || limit > platform.MaxBatchRecords {
		limit = platform.MaxBatchRecords
	}
	gen := s.current.Load()
	a, ok := gen.stream(name).read(from, limit, time.Now(), s.opts)
	a.Epoch = gen.epoch
	s.stats.reads.Add(1)
	if !ok {
		host.ReplyJSON(ctx, fasthttp.StatusGone, platform.TrimmedResponse{Epoch: a.Epoch, Oldest: a.Oldest, Next: a.Next})
		return
	}
	s.stats.recordsOut.Add(int64(len(a.Records)))
	for _, r := range a.Records {
		s.stats.bytesOut.Add(int64(len(r.Data)))
	}
	host.ReplyJSON(ctx, fasthttp.StatusOK, a)
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
