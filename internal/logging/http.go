package logging

// DiscardHTTPLogger is a fasthttp.Logger that discards fasthttp's own messages.
// The errors in them were either returned to the client or concern a client that
// has disconnected.
type DiscardHTTPLogger struct{}

// Printf implements fasthttp.Logger.
func (DiscardHTTPLogger) Printf(string, ...any) {}
