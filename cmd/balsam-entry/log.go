package main

import (
	"expvar"
	"io"

	"github.com/rs/zerolog/diode"
)

// logLines is the number of lines that wait for a slow reader of the log. Further
// lines are dropped and counted, so that no request waits for the log.
const logLines = 1_000

// newLogWriter returns a writer that never blocks. Close writes what waits.
func newLogWriter(out io.Writer) io.WriteCloser {
	dropped := expvar.NewInt("log_lines_dropped_total")
	// An interval of zero wakes the writer with each line and needs no polling.
	return diode.NewWriter(out, logLines, 0, func(missed int) { dropped.Add(int64(missed)) })
}
