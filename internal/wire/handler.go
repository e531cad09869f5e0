package wire

import "context"

// Handler handles a request of another daemon and returns the response. from is
// the caller's authenticated identity. If the message is nil, the response has an
// empty body. The context is cancelled when the connection ends.
type Handler func(ctx context.Context, from string, body []byte) (Message, error)

// Handlers maps the message types of requests to their handlers.
type Handlers map[Type]Handler
