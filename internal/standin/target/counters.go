package target

import (
	"maps"
	"sync"

	"github.com/balsamstall/balsamstall/internal/standin/tracked"
)

// Counters counts what happened on a target since its start or the last reset.
type Counters struct {
	Target              string `json:"target"`
	ConnectionsAccepted int64  `json:"connections_accepted"`
	// ConnectionsRejected counts the connections closed because of the connection limit.
	ConnectionsRejected int64 `json:"connections_rejected"`
	// ConnectionsOpen is the number of connections that are open now.
	ConnectionsOpen int64 `json:"connections_open"`
	// Started counts the attempts that started, however they ended.
	Started   int64 `json:"started"`
	Completed int64 `json:"completed"`
	Canceled  int64 `json:"canceled"`
	Crashed   int64 `json:"crashed"`
	// Replies counts the replies of attempts that ran, including wrong replies.
	Replies int64 `json:"replies"`
	// PeakRunning is the largest number of attempts that ran at the same time.
	PeakRunning int64 `json:"peak_running"`
	// BusyUS is the total time for which attempts held slots, in microseconds.
	BusyUS int64 `json:"busy_us"`
	// Crashes counts the crashes of the target.
	Crashes int64 `json:"crashes"`
	// Refused counts the refusals by code.
	Refused map[string]int64 `json:"refused"`
	// Faults counts the replies that a fault changed, withheld or prevented by a reset, by the name of
	// the fault or the kind of wrong reply.
	Faults map[string]int64 `json:"faults"`
}

type counters struct {
	connections tracked.Counts

	mu sync.Mutex
	// values is guarded by mu. Its connection counts are unused: connections holds them.
	values Counters
}

// update runs change with mu held.
func (c *counters) update(change func(*Counters)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.values.Refused == nil {
		c.values.Refused = make(map[string]int64)
		c.values.Faults = make(map[string]int64)
	}
	change(&c.values)
}

func (c *counters) reset() {
	c.connections.Accepted.Store(0)
	c.connections.Rejected.Store(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values = Counters{}
}

// Counters returns the current counts.
func (t *Target) Counters() Counters {
	var copied Counters
	t.counts.update(func(c *Counters) {
		copied = *c
		copied.Refused = maps.Clone(c.Refused)
		copied.Faults = maps.Clone(c.Faults)
	})
	copied.Target = t.cfg.ID
	copied.ConnectionsAccepted = t.counts.connections.Accepted.Load()
	copied.ConnectionsRejected = t.counts.connections.Rejected.Load()
	t.mu.Lock()
	listener := t.listener
	t.mu.Unlock()
	if listener != nil {
		copied.ConnectionsOpen = int64(len(listener.Connections()))
	}
	return copied
}

// ResetRecord clears the record and the counters. Attempts that still run are dropped from them too.
func (t *Target) ResetRecord() {
	t.record.reset()
	t.counts.reset()
}
