package main

import (
	"expvar"
	"io"

	"github.com/rs/zerolog/diode"
)

// logBufferLines is the number of log lines that are buffered for a slow reader. Further lines are
// dropped and counted, so that no request waits for the log.
const logBufferLines = 1_000

// newLogWriter returns a writer that never blocks. Close writes the buffered lines.
func newLogWriter(out io.Writer) io.WriteCloser {
	dropped := expvar.NewInt("log_lines_dropped_total")
	// With a poll interval of zero, each line wakes the writer and no polling is needed.
	return diode.NewWriter(out, logBufferLines, 0, func(missed int) { dropped.Add(int64(missed)) })
}
