package engine_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/loadreport"
)

// Guards against reported loads that do not reach the choice of the target, that keep effect when they
// are old, and against invalid ones that have any.
func TestReportedLoadAffectsChoiceWhileRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		defer time.Sleep(settleTime)
		e := newTestEntry()
		sentToFirst := func(requests int) (n int) {
			for range requests {
				req, _ := e.request("search", func(_ context.Context, target string) error {
					if target == testTargets[0] { // It is the fastest and gets most of the requests.
						n++
						time.Sleep(2 * time.Millisecond)
						return nil
					}
					time.Sleep(5 * time.Millisecond)
					return nil
				})
				_, err := e.RunOnce(t.Context(), req)
				is.NoErr(err)
			}
			return n
		}
		slow := loadreport.Report{Slots: 8, Pace: 8 * loadreport.UsualPace}
		time.Sleep(10 * time.Second) // The assumed latencies decay, so that each target is tried.
		sentToFirst(300)
		for range 20 {
			e.RecordLoad(testTargets[0], loadreport.Report{Slots: 8, Pace: loadreport.UsualPace}, nil)
		}
		e.RecordLoad(testTargets[0], slow, errors.New("invalid"))
		is.True(sentToFirst(20) > 15)
		e.RecordLoad(testTargets[0], slow, nil)
		is.Equal(sentToFirst(20), 0)
		time.Sleep(200 * time.Millisecond)
		is.True(sentToFirst(20) > 15)
	})
}
