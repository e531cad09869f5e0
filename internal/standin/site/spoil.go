package site

import (
	"io"
	"net/http"

	"github.com/ragwortquay/ragwortquay/internal/standin/rawhttp"
)

// Spoil is the answer that an engine gives to a request that it has run, in place of its
// own.
type Spoil = rawhttp.Answer

// Parts of answers. idField follows a status line without its end.
const (
	okHead     = "HTTP/1.1 200 OK\r\nRequest-Id: " + rawhttp.IDPlaceholder + "\r\nResponse-Seal: s\r\n"
	closedHead = okHead + "Connection: close\r\n"
	streamHead = closedHead + "Content-Type: text/event-stream\r\n"
	idField    = "\r\nRequest-Id: " + rawhttp.IDPlaceholder + "\r\n"
)

// The ways to spoil an answer.
var (
	// LoseAnswer closes the connection without an answer.
	LoseAnswer = Spoil{}
	// CutLength ends the connection within a body with a length.
	CutLength = Spoil{Text: okHead + "Content-Length: 100\r\n\r\nhalf of it"}
	// CutChunks ends the connection within a chunked body.
	CutChunks = Spoil{Text: okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"}
	// ResetUnframed resets the connection within a body without a length, and before it
	// has read a large request.
	ResetUnframed = Spoil{Text: closedHead + "\r\nhalf of it", End: rawhttp.Reset}
	// UnprovenRefusal answers with 503, but not that the request has not run.
	UnprovenRefusal = Spoil{Text: "HTTP/1.1 503 Service Unavailable" + idField + "Content-Length: 0\r\n\r\n"}
	// ErrorText answers with status 500 and a text, ErrorPage with a text and status
	// 200.
	ErrorText = Spoil{Text: "HTTP/1.1 500 Internal Server Error" + idField + "Content-Length: 16\r\n\r\nerror: out of it"}
	ErrorPage = Spoil{Text: okHead + "Content-Type: text/plain\r\nContent-Length: 18\r\n\r\nerror: out of it\n\n"}
	// ClientErrorText answers with status 404 and a text.
	ClientErrorText = Spoil{Text: "HTTP/1.1 404 Not Found" + idField + "Content-Length: 9\r\n\r\nnot here\n"}
	// CutHead closes the connection within the head of the answer.
	CutHead = Spoil{Text: "HTTP/1.1 200 OK" + idField + "Content-Ty"}
	// UnframedStream answers with a stream of one event, without a length or chunks.
	// CutUnframedEvent ends one within the event.
	UnframedStream   = Spoil{Text: streamHead + "\r\nid: 1\ndata: token\n\n"}
	CutUnframedEvent = Spoil{Text: streamHead + "\r\nid: 1\ndata: tok"}
	// EndlessHead, EndlessBody and EndlessEvent send header lines, a body without a
	// length, or one event, until the caller closes the connection.
	EndlessHead  = Spoil{Text: okHead, Repeated: "X-A: 0\r\n"}
	EndlessBody  = Spoil{Text: closedHead + "\r\n", Repeated: "0123456789"}
	EndlessEvent = Spoil{Text: streamHead + "\r\nid: 1\n", Repeated: "d"}
)

// spoilAnswer takes over the connection of a request and spoils the answer. It returns
// early when stop is closed.
func spoilAnswer(w http.ResponseWriter, r *http.Request, how Spoil, stop <-chan struct{}) {
	if how.WholeRequest {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // the caller has closed the connection
		}
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // can't happen: the server speaks HTTP/1.1
	}
	defer func() { _ = conn.Close() }()
	how.ForRequest(r.Header.Get("Request-Id")).Send(conn, stop)
}
