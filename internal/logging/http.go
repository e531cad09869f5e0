package logging

// DiscardHTTPLogger drops fasthttp's own lines: each error it would print has been
// answered or belongs to a caller that went away. It implements fasthttp.Logger.
type DiscardHTTPLogger struct{}

// Printf drops the line.
func (DiscardHTTPLogger) Printf(string, ...any) {}
