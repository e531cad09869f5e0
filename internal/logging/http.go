package logging

// QuietHTTP drops fasthttp's own lines: each error it would print has been
// answered or belongs to a caller that went away. It implements fasthttp.Logger.
type QuietHTTP struct{}

// Printf drops the line.
func (QuietHTTP) Printf(string, ...any) {}
