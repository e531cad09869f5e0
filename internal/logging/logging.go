// Package logging sets up klog to write JSON lines.
package logging

import (
	"flag"
	"io"
	"log/slog"
	"strconv"

	"k8s.io/klog/v2"
)

// Setup sends klog's lines to w as JSON; verbosity is klog's level.
func Setup(w io.Writer, verbosity int) error {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	if err := fs.Set("v", strconv.Itoa(verbosity)); err != nil {
		return err
	}
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-verbosity)})))
	return nil
}
