package target

import (
	"slices"

	"github.com/balsamstall/balsamstall/internal/standin/tracked"
)

// Silence makes the given fraction of the open connections silent, spread evenly over the order of
// their accepts: a fraction of 0.5 silences every second connection. Zero means all. A silent
// connection never replies again. Silence returns the number of connections that it made silent.
func (t *Target) Silence(fraction float64) int { return t.silence(fraction, nil) }

// silence is like Silence, but skips the connection keep, which may be nil.
func (t *Target) silence(fraction float64, keep *tracked.Conn) int {
	if fraction == 0 {
		fraction = 1
	}
	t.mu.Lock()
	listener := t.listener
	t.mu.Unlock()
	if listener == nil {
		return 0
	}
	silenced := 0
	conns := slices.DeleteFunc(listener.Connections(), func(c *tracked.Conn) bool { return c == keep })
	for i, conn := range conns {
		if float64(silenced) < fraction*float64(i+1) {
			conn.Silence()
			silenced++
		}
	}
	return silenced
}
