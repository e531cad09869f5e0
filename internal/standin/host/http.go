package host

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
)

// ConnOf returns the connection that a request came on.
func ConnOf(ctx *fasthttp.RequestCtx) *Conn {
	c, _ := ctx.Conn().(*Conn)
	return c
}

// ReplyJSON answers with v as JSON.
func ReplyJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// ParseJSON reads the request's JSON body into v; it answers 400 and returns false
// if that fails.
func ParseJSON(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.Error("body: "+err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// ResetConn resets the request's connection instead of answering.
func ResetConn(ctx *fasthttp.RequestCtx) {
	if c := ConnOf(ctx); c != nil {
		c.Reset()
	}
}

// HangUntilClosed keeps the request without an answer until the caller goes away.
func HangUntilClosed(ctx *fasthttp.RequestCtx) {
	c := ConnOf(ctx)
	if c == nil {
		return
	}
	c.WatchClose()
	<-c.Closed()
}

// Delay waits for d, or until the request's caller goes away; it returns false
// in that case.
func Delay(ctx *fasthttp.RequestCtx, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	c := ConnOf(ctx)
	c.WatchClose()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.Closed():
		return false
	}
}
