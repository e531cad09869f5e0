package host

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
)

// Of returns the connection that a request came on.
func Of(ctx *fasthttp.RequestCtx) *Conn {
	c, _ := ctx.Conn().(*Conn)
	return c
}

// Reply answers with v as JSON.
func Reply(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// Parse reads the request's JSON body into v; it answers 400 and returns false
// if that fails.
func Parse(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.Error("body: "+err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// NoAnswer resets the request's connection instead of answering.
func NoAnswer(ctx *fasthttp.RequestCtx) {
	if c := Of(ctx); c != nil {
		c.Cut()
	}
}

// Hang keeps the request without an answer until the caller goes away.
func Hang(ctx *fasthttp.RequestCtx) {
	c := Of(ctx)
	if c == nil {
		return
	}
	c.Watch()
	<-c.Gone()
}

// Wait waits for d, or until the request's caller goes away; it returns false
// in that case.
func Wait(ctx *fasthttp.RequestCtx, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	c := Of(ctx)
	c.Watch()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.Gone():
		return false
	}
}
