package loadreport_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/loadreport"
)

// Guards against malformed reports that are taken for loads, and against valid ones that are refused.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []string
		want   loadreport.Report
		stated bool
	}{
		{"three figures", []string{"3,0,8"}, loadreport.Report{Running: 3, Slots: 8}, true},
		{"pace", []string{"3,1,8,100"}, loadreport.Report{Running: 3, Waiting: 1, Slots: 8, Pace: loadreport.UsualPace}, true},
		{"fraction", []string{" 3 , 1,8 , 62.5 "}, loadreport.Report{Running: 3, Waiting: 1, Slots: 8, Pace: 62.5}, true},
		{"extended", []string{"3,1,8,100,7"}, loadreport.Report{Running: 3, Waiting: 1, Slots: 8, Pace: 100}, true},
		{"largest", []string{"1000000,0,0,1000000"}, loadreport.Report{Running: 1e6, Pace: 1e6}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, stated, err := loadreport.Parse(c.values)
			is.NoErr(err)
			is.Equal(got, c.want)
			is.Equal(stated, c.stated)
		})
	}
	is := is.New(t)
	_, stated, err := loadreport.Parse(nil)
	is.NoErr(err)
	is.True(!stated)
	for _, values := range [][]string{{""}, {"3"}, {"3,0"}, {"3,0,"}, {"-1,0,8"}, {"3,0,8,"}, {"3,0,8,0"}, {"3,0,8,-5"}, {"3,0,8,NaN"}, {"3,0,8,1e3"},
		{"3,0,8,1.2.3"}, {"3,0,8,."}, {"1000001,0,8"}, {"3,0,8,1000001"}, {"a,b,c"}, {"3;0;8"}, {"3,0,8", "3,0,8"}, {strings.Repeat("9", 5000)}} {
		_, stated, err := loadreport.Parse(values)
		var invalid *loadreport.InvalidError
		if stated || !errors.As(err, &invalid) || len(invalid.Value) > 40 || invalid.Count != len(values) {
			t.Errorf("%q: stated %v, error %v", values, stated, err)
		}
	}
}

// Guards against values outside the range and against crashes on any value.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"", "3,0,8", "3,0,8,100", "3,0,8,62.5,1", "-1,0,8", "1e9,0,8", "3,0,8,NaN", "3,0,8,0x1p4", ",,,", "99999999999999999999,0,8"} {
		f.Add(seed, false)
	}
	f.Fuzz(func(t *testing.T, value string, repeated bool) {
		values := []string{value}
		if repeated {
			values = append(values, value)
		}
		r, stated, err := loadreport.Parse(values)
		if stated == (err != nil) {
			t.Fatalf("stated %v, error %v", stated, err)
		}
		for _, n := range []int{r.Running, r.Waiting, r.Slots} {
			if n < 0 || n > loadreport.MaxCount {
				t.Fatalf("count %d", n)
			}
		}
		if !(r.Pace >= 0 && r.Pace <= loadreport.MaxPace) {
			t.Fatalf("pace %v", r.Pace)
		}
	})
}
