// Package logging configures klog to write JSON lines, and provides a writer that
// does not block.
package logging

import (
	"flag"
	"io"
	"log/slog"
	"strconv"

	"k8s.io/klog/v2"
)

// Setup makes klog write JSON lines to w. verbosity is the highest klog level that
// is written.
func Setup(w io.Writer, verbosity int) error {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	if err := fs.Set("v", strconv.Itoa(verbosity)); err != nil {
		return err
	}
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-verbosity)})))
	return nil
}
