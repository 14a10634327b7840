// Package loadreport parses the load that targets report in a header field of their replies.
package loadreport

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// MaxCount is the largest number of requests or slots that is accepted.
	MaxCount = 1_000_000
	// UsualPace is the pace of a target whose work takes the usual time.
	UsualPace = 100
	// MaxPace is the largest pace that is accepted.
	MaxPace = 1_000_000
	// maxLoggedBytes limits the part of an invalid value that an InvalidError holds.
	maxLoggedBytes = 40
)

// Report is the load that a target reports.
type Report struct {
	// Running and Waiting are the numbers of requests that run and that wait for a slot, and Slots is
	// the number that the target runs concurrently.
	Running, Waiting, Slots int
	// Pace is the time that work takes on the target's machine now, UsualPace being the usual time. Zero
	// means that the target does not state it.
	Pace float64
}

// InvalidError reports a field with an invalid load report, which must be ignored.
type InvalidError struct {
	// Value is the beginning of the field's first value, Count the number of its values.
	Value string
	Count int
}

// Error implements the error interface.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid load report %q in a field with %d values", e.Value, e.Count)
}

// Parse returns the report that the values of a field state: the requests running and waiting and the
// slots, separated by commas, and optionally the pace, a positive decimal number. Figures after these
// are ignored, because the report may be extended. A field without values states none, and stated is
// false then. Every error is an *InvalidError.
func Parse(values []string) (report Report, stated bool, err error) {
	if len(values) == 0 {
		return Report{}, false, nil
	}
	if len(values) == 1 {
		if report, ok := parse(values[0]); ok {
			return report, true, nil
		}
	}
	return Report{}, false, &InvalidError{Value: values[0][:min(len(values[0]), maxLoggedBytes)], Count: len(values)}
}

func parse(value string) (r Report, ok bool) {
	rest, more := value, true
	for _, count := range []*int{&r.Running, &r.Waiting, &r.Slots} {
		var figure string
		if !more {
			return r, false
		}
		figure, rest, more = strings.Cut(rest, ",")
		n, err := strconv.ParseUint(strings.Trim(figure, " \t"), 10, 64)
		if err != nil || n > MaxCount {
			return r, false
		}
		*count = int(n)
	}
	if !more {
		return r, true
	}
	figure, _, _ := strings.Cut(rest, ",")
	figure = strings.Trim(figure, " \t")
	if strings.Trim(figure, "0123456789.") != "" { // ParseFloat accepts exponents, signs and names.
		return r, false
	}
	pace, err := strconv.ParseFloat(figure, 64)
	r.Pace = pace
	return r, err == nil && pace > 0 && pace <= MaxPace
}
