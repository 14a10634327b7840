package requestrate_test

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/requestrate"
)

// Guards against invalid rates that are taken for rates.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []string
		want   requestrate.Rate
		valid  bool
	}{
		{"absent", nil, requestrate.Rate{}, true},
		{"whole", []string{"12"}, requestrate.Rate{Stated: true, PerSecond: 12}, true},
		{"fraction", []string{" 4.25 "}, requestrate.Rate{Stated: true, PerSecond: 4.25}, true},
		{"zero", []string{"0"}, requestrate.Rate{Stated: true}, true},
		{"largest", []string{"1000000"}, requestrate.Rate{Stated: true, PerSecond: 1e6}, true},
		{"empty", []string{""}, requestrate.Rate{}, false},
		{"negative", []string{"-1"}, requestrate.Rate{}, false},
		{"signed", []string{"+1"}, requestrate.Rate{}, false},
		{"not a number", []string{"NaN"}, requestrate.Rate{}, false},
		{"infinite", []string{"Inf"}, requestrate.Rate{}, false},
		{"exponent", []string{"1e3"}, requestrate.Rate{}, false},
		{"hexadecimal", []string{"0x10"}, requestrate.Rate{}, false},
		{"huge", []string{"1000001"}, requestrate.Rate{}, false},
		{"endless", []string{strings.Repeat("9", 5000)}, requestrate.Rate{}, false},
		{"repeated", []string{"5", "5"}, requestrate.Rate{}, false},
		{"list", []string{"5, 5"}, requestrate.Rate{}, false},
		{"text", []string{"five"}, requestrate.Rate{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := requestrate.Parse(c.values)
			is.Equal(got, c.want)
			is.Equal(err == nil, c.valid)
			var invalid *requestrate.InvalidError
			is.Equal(errors.As(err, &invalid), !c.valid)
		})
	}
}

// Guards against values outside the range, and against values that are read differently from what
// they state.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"", "0", "4.5", "-1", "NaN", "1e9", "0x1p4", "5, 5", "999999999999999999999"} {
		f.Add(seed, false)
	}
	f.Fuzz(func(t *testing.T, value string, repeated bool) {
		values := []string{value}
		if repeated {
			values = append(values, value)
		}
		got, err := requestrate.Parse(values)
		if err != nil {
			return
		}
		want, parseErr := strconv.ParseFloat(strings.Trim(value, " \t"), 64)
		if repeated || parseErr != nil || got.PerSecond != want || math.Signbit(got.PerSecond) || got.PerSecond > requestrate.MaxPerSecond {
			t.Fatalf("%q: got %v", values, got)
		}
	})
}
