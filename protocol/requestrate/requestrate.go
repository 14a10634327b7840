// Package requestrate parses request rates in header fields of targets' replies.
package requestrate

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// MaxPerSecond is the largest rate that is accepted. No target runs as many requests.
	MaxPerSecond = 1e6
	// maxLoggedBytes limits the part of an invalid value that an InvalidError holds.
	maxLoggedBytes = 40
)

// Rate is a request rate, or its absence.
type Rate struct {
	// Stated is set if the reply states a rate.
	Stated bool
	// PerSecond is the stated rate in requests per second. Zero allows no request.
	PerSecond float64
}

// InvalidError reports a field with an invalid rate, which must be ignored.
type InvalidError struct {
	// Value is the beginning of the field's first value, Count the number of its values.
	Value string
	Count int
}

// Error implements the error interface.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid request rate %q in a field with %d values", e.Value, e.Count)
}

// Parse returns the rate that the values of a field state: one decimal number of requests per second,
// from 0 to MaxPerSecond, without sign or exponent. A field without values states none. Every error
// is an *InvalidError.
func Parse(values []string) (Rate, error) {
	if len(values) == 0 {
		return Rate{}, nil
	}
	text := strings.Trim(values[0], " \t")
	if len(values) == 1 && isDecimal(text) {
		if perSecond, err := strconv.ParseFloat(text, 64); err == nil && perSecond <= MaxPerSecond {
			return Rate{Stated: true, PerSecond: perSecond}, nil
		}
	}
	return Rate{}, &InvalidError{Value: values[0][:min(len(values[0]), maxLoggedBytes)], Count: len(values)}
}

// isDecimal reports whether text consists of digits with at most one decimal point between them.
func isDecimal(text string) bool {
	whole, fraction, hasPoint := strings.Cut(text, ".")
	return isDigits(whole) && (!hasPoint || isDigits(fraction))
}

func isDigits(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}
