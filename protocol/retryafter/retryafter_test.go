package retryafter

import (
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a delay from an invalid value or from clock skew between hosts, and against
// overflow.
func TestParse(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	for value, want := range map[string]time.Duration{
		"":                              0,
		"3":                             3 * time.Second,
		" 0.25 ":                        250 * time.Millisecond,
		"0":                             0,
		"-1":                            0,
		"NaN":                           0,
		"soon":                          0,
		"+Inf":                          time.Hour,
		"1e300":                         time.Hour,
		"3601":                          time.Hour,
		"Fri, 04 Dec 2026 12:00:10 GMT": 10 * time.Second,
		"Fri, 04 Dec 2026 11:59:59 GMT": 0,
		"Fri, 04 Dec 9999 11:59:59 GMT": time.Hour,
	} {
		is.Equal(Parse(http.Header{"Retry-After": {value}}, now, time.Hour), want) // value
	}
	skewed := http.Header{"Retry-After": {"Fri, 04 Dec 2026 15:00:10 GMT"}, "Date": {"Fri, 04 Dec 2026 15:00:00 GMT"}}
	is.Equal(Parse(skewed, now, time.Hour), 10*time.Second)
}

func FuzzParse(f *testing.F) {
	f.Add("3", "")
	f.Add("Fri, 04 Dec 2026 15:00:10 GMT", "Fri, 04 Dec 2026 15:00:00 GMT")
	f.Fuzz(func(t *testing.T, value, date string) {
		got := Parse(http.Header{"Retry-After": {value}, "Date": {date}}, time.Unix(0, 0), time.Hour)
		if got < 0 || got > time.Hour || math.IsNaN(got.Seconds()) {
			t.Fatalf("%q at %q: %v", value, date, got)
		}
	})
}
