package settings

import (
	"fmt"
	"net/netip"
	"strconv"
)

// Checks collects the faults of one settings struct.
type Checks struct {
	Faults []Fault
}

// Add records a fault.
func (c *Checks) Add(field, value, allowed string) {
	c.Faults = append(c.Faults, Fault{Field: field, Value: value, Allowed: allowed})
}

// NonEmpty requires a non-empty text.
func (c *Checks) NonEmpty(field, value string) {
	if value == "" {
		c.Add(field, `""`, "a non-empty text")
	}
}

// Address requires an IP address and port.
func (c *Checks) Address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Add(field, strconv.Quote(value), "an IP address and port, such as 127.0.0.1:7101")
	}
}

// Range requires a number from lo to hi.
func (c *Checks) Range(field string, value, lo, hi int64) {
	if value < lo || value > hi {
		c.Add(field, strconv.FormatInt(value, 10), fmt.Sprintf("a number from %d to %d", lo, hi))
	}
}

// OneOf requires one of the allowed texts.
func (c *Checks) OneOf(field, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.Add(field, strconv.Quote(value), fmt.Sprintf("one of %q", allowed))
}

// minKeyLength is the minimum length of a shared key in bytes: 128 bits as hexadecimal text.
const minKeyLength = 32

// Key requires a secret of at least minKeyLength characters. The fault never contains the value.
func (c *Checks) Key(field, value string) {
	if len(value) < minKeyLength {
		c.Add(field, fmt.Sprintf("(%d characters)", len(value)), fmt.Sprintf("at least %d characters", minKeyLength))
	}
}

// Ratio requires a number from 0 to 1.
func (c *Checks) Ratio(field string, value float64) {
	if !(value >= 0 && value <= 1) {
		c.Add(field, strconv.FormatFloat(value, 'g', -1, 64), "a number from 0 to 1")
	}
}
