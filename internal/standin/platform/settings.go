package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/balsamstall/balsamstall/internal/settings"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
)

// defaultCallsPerSecond is the read rate that the real platform allows.
const defaultCallsPerSecond = 2_000

// Settings is the settings file of `balsam-standin platform`.
type Settings struct {
	// Address is the IP:port that the platform listens on.
	Address string `json:"address"`
	// ControlAddress is the IP:port of an optional second listener, which serves only /control and
	// which no fault affects.
	ControlAddress string `json:"control_address"`
	// CallsPerSecond limits the calls of all clients together. The default is 2,000.
	CallsPerSecond int64 `json:"calls_per_second"`
	// HostsLagMS is the age of the host list that clients see, in milliseconds.
	HostsLagMS int64 `json:"hosts_lag_ms"`
	// Documents maps keys to the files published under them at the start. Relative paths are relative
	// to the directory of the settings file.
	Documents map[string]string `json:"documents"`
	// Hosts is the host list at the start.
	Hosts []platformapi.Host `json:"hosts"`
	// LogLevel is a zerolog level. The default is "info".
	LogLevel string `json:"log_level"`

	// dir is the directory of the settings file.
	dir string
}

// NewSettings returns the default settings for a file in the directory dir.
func NewSettings(dir string) *Settings {
	return &Settings{CallsPerSecond: defaultCallsPerSecond, LogLevel: "info", dir: dir}
}

// Upper limits of the settings, so that a mistyped value does not stall a run.
const (
	maxCallsPerSecond = 1_000_000
	maxLagMS          = 600_000
)

// Check implements settings.Checker.
func (s *Settings) Check() []settings.Fault {
	var c settings.Checks
	c.Address("address", s.Address)
	if s.ControlAddress != "" {
		c.Address("control_address", s.ControlAddress)
	}
	c.Range("calls_per_second", s.CallsPerSecond, 1, maxCallsPerSecond)
	c.Range("hosts_lag_ms", s.HostsLagMS, 0, maxLagMS)
	for _, key := range s.documentKeys() {
		if _, err := s.readDocument(key); err != nil {
			c.Add("documents."+key, s.Documents[key], "a file with one JSON value of at most 1 MiB: "+err.Error())
		}
	}
	for i, h := range s.Hosts {
		path := fmt.Sprintf("hosts[%d].", i)
		c.NonEmpty(path+"id", h.ID)
		c.NonEmpty(path+"zone", h.Zone)
		c.Address(path+"address", h.Address)
		c.OneOf(path+"kind", string(h.Kind), string(platformapi.KindEntry), string(platformapi.KindTarget))
		c.OneOf(path+"state", string(h.State), string(platformapi.HostLive), string(platformapi.HostLeaving))
	}
	c.OneOf("log_level", s.LogLevel, "debug", "info", "warn", "error")
	return c.Faults
}

func (s *Settings) documentKeys() []string {
	keys := make([]string, 0, len(s.Documents))
	for key := range s.Documents {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Errors of checkValue.
var (
	errTooLarge = errors.New("the value is larger than 1 MiB")
	errNotJSON  = errors.New("the value is not JSON")
)

func (s *Settings) readDocument(key string) (json.RawMessage, error) {
	path := s.Documents[key]
	if !filepath.IsAbs(path) {
		path = filepath.Join(s.dir, path)
	}
	value, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return value, checkValue(value)
}

func checkValue(value []byte) error {
	if len(value) > maxValueBytes {
		return errTooLarge
	}
	if !json.Valid(value) {
		return errNotJSON
	}
	return nil
}
