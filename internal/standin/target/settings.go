package target

import (
	"fmt"
	"time"

	"github.com/balsamstall/balsamstall/internal/settings"
	"github.com/balsamstall/balsamstall/protocol/ids"
)

// Default values of a Config.
const (
	defaultSlots          = 3
	defaultMaxConnections = 30
	defaultQueueWaitMS    = 50
	defaultRecordLimit    = 16_384
)

// Config holds the settings of one target.
type Config struct {
	ID string `json:"id"`
	// Address is the IP:port that the target listens on.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is the number of attempts that can run at the same time. The default is 3.
	Slots int `json:"slots"`
	// MaxConnections limits the open connections. Further connections are closed on accept. The
	// default is 30.
	MaxConnections int `json:"max_connections"`
	// DialCostMS is the shortest time from the accept of a connection to the first reply on it, in
	// milliseconds.
	DialCostMS float64 `json:"dial_cost_ms"`
	// ServiceTimeMSMedian is the median of the log-normal service time in milliseconds.
	ServiceTimeMSMedian float64 `json:"service_time_ms_median"`
	// ServiceTimeSigma is the standard deviation of the logarithm of the service time.
	ServiceTimeSigma float64 `json:"service_time_sigma"`
	// ColdMS is the time after a start in which service times are longer, in milliseconds.
	ColdMS int64 `json:"cold_ms"`
	// Seed seeds the random service times.
	Seed uint64 `json:"seed"`
	// Queue is the number of attempts that can wait for a slot. The default is the value of Slots.
	Queue int `json:"queue"`
	// QueueWaitMS is the longest wait for a slot in milliseconds. The default is 50.
	QueueWaitMS int64 `json:"queue_wait_ms"`
	// StatusLagMS is the age of the state that GET /v1/status reports, in milliseconds.
	StatusLagMS int64 `json:"status_lag_ms"`
	// RecordLimit is the number of the most recent attempts kept in the record. The default is 16,384.
	RecordLimit int `json:"record_limit"`
}

func (c Config) withDefaults() Config {
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.MaxConnections == 0 {
		c.MaxConnections = defaultMaxConnections
	}
	if c.Queue == 0 {
		c.Queue = c.Slots
	}
	if c.QueueWaitMS == 0 {
		c.QueueWaitMS = defaultQueueWaitMS
	}
	if c.RecordLimit == 0 {
		c.RecordLimit = defaultRecordLimit
	}
	return c
}

// Service lists the snapshots of one service that the targets serve.
type Service struct {
	Snapshots []ids.Snapshot `json:"snapshots"`
}

// Settings is the settings file of `balsam-standin target`.
type Settings struct {
	Targets []Config `json:"targets"`
	// Services holds the services by name. Every target serves all of them.
	Services map[string]Service `json:"services"`
	// ControlAddress is the IP:port of an optional listener that serves only /control, for all targets,
	// and that no fault affects.
	ControlAddress string `json:"control_address"`
	// LogLevel is a zerolog level. The default is "info".
	LogLevel string `json:"log_level"`
}

// NewSettings returns the default settings.
func NewSettings() *Settings { return &Settings{LogLevel: "info"} }

// Check implements settings.Checker.
func (s *Settings) Check() []settings.Fault {
	var c settings.Checks
	if len(s.Targets) == 0 {
		c.Add("targets", "[]", "at least one target")
	}
	seen := make(map[string]bool)
	for i, t := range s.Targets {
		path := fmt.Sprintf("targets[%d].", i)
		checkTarget(&c, path, t)
		if seen[t.ID] {
			c.Add(path+"id", t.ID, "an id that no other target has")
		}
		seen[t.ID] = true
	}
	for name, service := range s.Services {
		if len(service.Snapshots) == 0 {
			c.Add("services."+name+".snapshots", "[]", "at least one snapshot")
		}
	}
	if s.ControlAddress != "" {
		c.Address("control_address", s.ControlAddress)
	}
	c.OneOf("log_level", s.LogLevel, "debug", "info", "warn", "error")
	return c.Faults
}

// Upper limits of the settings, so that a mistyped value does not stall a run.
const (
	maxSlots       = 10_000
	maxConnections = 100_000
	maxDelayMS     = 600_000
	maxSigma       = 3
	maxRecord      = 1_000_000
)

func checkTarget(c *settings.Checks, path string, t Config) {
	c.NonEmpty(path+"id", t.ID)
	c.Address(path+"address", t.Address)
	c.NonEmpty(path+"zone", t.Zone)
	c.Range(path+"slots", int64(t.Slots), 0, maxSlots)
	c.Range(path+"max_connections", int64(t.MaxConnections), 0, maxConnections)
	checkFloat(c, path+"dial_cost_ms", t.DialCostMS, maxDelayMS)
	checkFloat(c, path+"service_time_ms_median", t.ServiceTimeMSMedian, maxDelayMS)
	checkFloat(c, path+"service_time_sigma", t.ServiceTimeSigma, maxSigma)
	c.Range(path+"cold_ms", t.ColdMS, 0, maxDelayMS)
	c.Range(path+"queue", int64(t.Queue), 0, maxSlots)
	c.Range(path+"queue_wait_ms", t.QueueWaitMS, 0, maxDelayMS)
	c.Range(path+"status_lag_ms", t.StatusLagMS, 0, maxStatusLagMS)
	c.Range(path+"record_limit", int64(t.RecordLimit), 0, maxRecord)
}

func checkFloat(c *settings.Checks, field string, value, limit float64) {
	if value < 0 || value > limit {
		c.Add(field, fmt.Sprint(value), fmt.Sprintf("a number from 0 to %g", limit))
	}
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
