package engine

import (
	"bufio"
	"encoding/json"
	"fmt"

	"github.com/ragwortquay/ragwortquay/internal/standin/oracle"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

func writeToken(w *bufio.Writer, prompt string, i int) error {
	data, err := json.Marshal(target.Token{Text: oracle.Token(prompt, i)})
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data); err != nil {
		return err
	}
	return w.Flush()
}

func writeEnd(w *bufio.Writer, requestID string, tokens int) error {
	data, err := json.Marshal(target.End{RequestID: requestID, Tokens: tokens})
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "event: end\ndata: %s\n\n", data); err != nil {
		return err
	}
	return w.Flush()
}
