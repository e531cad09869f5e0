package host

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
)

// ConnOf returns the connection of a request, or nil if it isn't a Conn.
func ConnOf(ctx *fasthttp.RequestCtx) *Conn {
	c, _ := ctx.Conn().(*Conn)
	return c
}

// ReplyJSON responds with v as JSON.
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

// ParseJSON decodes the request's JSON body into v. On failure it responds with
// status 400 and returns false.
func ParseJSON(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.Error("request body: "+err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// ResetConn resets the request's connection, so that the caller gets no response.
func ResetConn(ctx *fasthttp.RequestCtx) {
	if c := ConnOf(ctx); c != nil {
		c.Reset()
	}
}

// HangUntilClosed leaves the request without a response until the caller closes
// its connection.
func HangUntilClosed(ctx *fasthttp.RequestCtx) {
	c := ConnOf(ctx)
	if c == nil {
		return
	}
	c.WatchClose()
	<-c.Closed()
}

// Delay waits for d. It returns false if the caller closes its connection before.
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
