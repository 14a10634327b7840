package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

// longMS is a time in milliseconds that does not pass during a test.
const longMS = maxDelayMS

// eventually polls until ok returns true. Only the timeout of the test binary limits the wait.
func eventually(ok func() bool) {
	for !ok() {
		time.Sleep(time.Millisecond)
	}
}

// startSearch sends a search in the background and waits until it runs. The channel gets the error of
// the search.
func startSearch(target *Target, client *http.Client, query string) <-chan error {
	started := target.Record().Started
	done := make(chan error, 1)
	go func() {
		var reply targetapi.SearchReply
		_, err := post(client, target, testRequest(query), &reply)
		done <- err
	}()
	eventually(func() bool { return target.Record().Started > started })
	return done
}

// Guards against a crash that loses the record of started attempts, or that leaves connections or the
// listener open.
func TestCrashOnQuery(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, Config{ServiceTimeMSMedian: longMS, Slots: 2, ColdMS: longMS})
	is.NoErr(target.Apply(Command{Fault: FaultCrash, Query: "poison", RestartMS: longMS}))
	unrelated := startSearch(target, newClient(t), "innocent")

	var reply targetapi.SearchReply
	_, err := post(newClient(t), target, testRequest("poison"), &reply)
	is.True(err != nil)
	is.True(<-unrelated != nil)
	_, err = net.Dial("tcp", target.Addr())
	is.True(err != nil)
	for _, run := range target.Record().Runs {
		is.Equal(run.End, EndCrashed)
		is.True(!run.ReplySent)
	}
	is.Equal(target.Record().Started, uint64(2))
}

// Guards against a crashed target that does not restart or that is not cold after the restart.
func TestCrashedTargetRestartsCold(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, Config{ColdMS: longMS})
	target.Crash(time.Millisecond)
	client := newClient(t)
	var reply targetapi.SearchReply
	eventually(func() bool {
		_, err := post(client, target, testRequest("q"), &reply)
		return err == nil
	})
	is.True(target.Status().Cold)
}

// Guards against silent connections that still reply, and against new connections that do not.
func TestSilentConnections(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, Config{})
	old := newClient(t)
	var reply targetapi.SearchReply
	_, err := post(old, target, testRequest("a"), &reply)
	is.NoErr(err)
	is.Equal(target.Silence(1), 1)

	hanging := startSearch(target, old, "b")
	_, err = post(newClient(t), target, testRequest("c"), &reply)
	is.NoErr(err)
	select {
	case err := <-hanging:
		t.Fatal("the silent connection answered", err)
	default:
	}
	is.True(target.Record().Runs[2].ReplySent)
	eventually(func() bool { return !target.Record().Runs[1].ReplySent })
	is.Equal(target.Record().Runs[1].Query, "b")
}

// Guards against a fraction that silences the wrong number of connections.
func TestSilenceHalf(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, Config{})
	for range 5 {
		var reply targetapi.SearchReply
		_, err := post(newClient(t), target, testRequest("q"), &reply)
		is.NoErr(err)
	}
	is.Equal(target.Silence(0.5), 3)
}

// Guards against connections above the limit being served.
func TestConnectionCap(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, Config{MaxConnections: 1})
	var reply targetapi.SearchReply
	first := newClient(t)
	_, err := post(first, target, testRequest("q"), &reply)
	is.NoErr(err)
	_, err = post(newClient(t), target, testRequest("q"), &reply)
	is.True(err != nil)
	first.CloseIdleConnections()
	eventually(func() bool {
		_, err := post(newClient(t), target, testRequest("q"), &reply)
		return err == nil
	})
}

// Guards against attempts that run or wait without limit although the slots and the queue are full.
func TestShedsAboveSlotsAndQueue(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, Config{Slots: 1, Queue: 1, QueueWaitMS: 1, ServiceTimeMSMedian: longMS})
	startSearch(target, newClient(t), "long")
	for range 3 {
		var refusal targetapi.Refusal
		_, err := post(newClient(t), target, testRequest("q"), &refusal)
		is.NoErr(err)
		is.Equal(refusal.Code, status.Shed)
		is.True(refusal.NotRun)
	}
	is.Equal(target.Record().Started, uint64(1))
}

// Guards against a drain that interrupts running attempts or lets new ones in.
func TestDrain(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, Config{ServiceTimeMSMedian: 200})
	running := startSearch(target, newClient(t), "q")
	target.SetDraining(true)
	var refusal targetapi.Refusal
	_, err := post(newClient(t), target, testRequest("q"), &refusal)
	is.NoErr(err)
	is.Equal(refusal.Code, status.Draining)
	is.True(refusal.NotRun)
	is.NoErr(<-running)
	is.NoErr(target.Shutdown(context.Background()))
	is.Equal(target.Record().Runs[0].End, EndCompleted)
}

// Guards against an attempt that continues after its client has disconnected.
func TestCancellation(t *testing.T) {
	target := startTarget(t, Config{ServiceTimeMSMedian: longMS})
	ctx, cancel := context.WithCancel(context.Background())
	body, err := json.Marshal(testRequest("q"))
	is.New(t).NoErr(err)
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+target.Addr()+targetapi.SearchPath, bytes.NewReader(body))
	is.New(t).NoErr(err)
	done := make(chan error, 1)
	client := newClient(t)
	go func() {
		_, err := client.Do(req)
		done <- err
	}()
	eventually(func() bool { return target.Record().Started == 1 })
	cancel()
	is.New(t).True(errors.Is(<-done, context.Canceled))
	eventually(func() bool { return target.Record().Runs[0].End == EndCanceled })
}

// Guards against faults that last beyond their count or their removal.
func TestCountAndOff(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, Config{})
	client := newClient(t)
	is.NoErr(target.Apply(Command{Fault: FaultShed, Count: 1}))
	var reply struct{ Code status.Code }
	send := func() status.Code {
		reply.Code = ""
		_, err := post(client, target, testRequest("q"), &reply)
		is.NoErr(err)
		return reply.Code
	}
	is.Equal(send(), status.Shed)
	is.Equal(send(), status.Code(""))
	is.NoErr(target.Apply(Command{Fault: FaultShed}))
	is.Equal(send(), status.Shed)
	is.NoErr(target.Apply(Command{Fault: FaultShed, Off: true}))
	is.Equal(send(), status.Code(""))
}

// Guards against commands that affect the wrong target, that are executed although they are invalid,
// or that reset their own connection.
func TestControlOverHTTP(t *testing.T) {
	is := is.New(t)
	s := NewSettings()
	s.Services = map[string]Service{"clamps": {Snapshots: []ids.Snapshot{testSnapshot}}}
	for id, zone := range map[string]string{"t1": "a", "t2": "b"} {
		s.Targets = append(s.Targets, Config{ID: id, Zone: zone, Address: "127.0.0.1:0"})
	}
	fleet := NewFleet(s, zerolog.Nop())
	is.NoErr(fleet.Start())
	t.Cleanup(fleet.Close)
	client := newClient(t)
	control := func(body string) int {
		url := "http://" + fleet.Target("t1").Addr() + ControlPath
		resp, err := client.Post(url, "application/json", bytes.NewReader([]byte(body)))
		is.NoErr(err)
		resp.Body.Close()
		return resp.StatusCode
	}
	is.Equal(control(`{"target":"t2","fault":"drain"}`), http.StatusOK)
	is.True(fleet.Target("t2").Status().Draining)
	is.True(!fleet.Target("t1").Status().Draining)
	is.Equal(control(`{"target":"zone:b","fault":"drain","off":true}`), http.StatusOK)
	is.True(!fleet.Target("t2").Status().Draining)
	is.Equal(control(`{"target":"t9","fault":"drain"}`), http.StatusNotFound)
	is.Equal(control(`{"fault":"slow","factor":-1}`), http.StatusBadRequest)
	is.Equal(control(`{"fault":"slow","faktor":2}`), http.StatusBadRequest)
	is.Equal(control(`{"fault":"crash","restart_ms":600000}`), http.StatusOK) // Its own connection stays open.
}

// Guards against status reports that show the current state although a fault sets a lag or a report.
func TestStatusFault(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, Config{ServiceTimeMSMedian: longMS})
	startSearch(target, newClient(t), "q")
	is.Equal(target.Status().InFlight, 1)
	is.NoErr(target.Apply(Command{Fault: FaultStatus, Report: &Report{InFlight: 0, Draining: true}}))
	is.Equal(target.Status().InFlight, 0)
	is.True(target.Status().Draining)
	is.NoErr(target.Apply(Command{Fault: FaultStatus, Off: true}))

	base := time.Now().Add(time.Hour)
	target.history.add(stateSample{at: base, inFlight: 5})
	target.history.add(stateSample{at: base.Add(time.Second), inFlight: 6})
	old, ok := target.history.at(base.Add(time.Second / 2))
	is.True(ok)
	is.Equal(old.inFlight, 5)
	// A state that follows within the sample interval must not be lost, because an idle target adds no
	// later one.
	target.history.add(stateSample{at: base.Add(time.Second + 1), inFlight: 0})
	last, _ := target.history.at(base.Add(time.Minute))
	is.Equal(last.inFlight, 0)
}

// Guards against counters that miss attempts, refusals or crashes.
func TestCounters(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, Config{})
	var reply targetapi.SearchReply
	_, err := post(newClient(t), target, testRequest("q"), &reply)
	is.NoErr(err)
	is.NoErr(target.Apply(Command{Fault: FaultShed, Count: 1}))
	_, err = post(newClient(t), target, testRequest("q"), &reply)
	is.NoErr(err)
	target.Crash(0)
	counts := target.Counters()
	is.Equal(counts.Replies, int64(1))
	is.Equal(counts.Started, int64(1))
	is.Equal(counts.Completed, int64(1))
	is.Equal(counts.Refused["shed"], int64(1))
	is.Equal(counts.Crashes, int64(1))
	is.Equal(counts.ConnectionsAccepted, int64(2))
	target.ResetRecord()
	is.Equal(target.Counters().Started, int64(0))
	is.Equal(len(target.Record().Runs), 0)
}

// Guards against attempts that run at a withdrawn snapshot, and against commands that withdraw
// snapshots of other services.
func TestSnapshotChange(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, Config{})
	next := ids.Snapshot{IndexVersion: testSnapshot.IndexVersion + 1, ShardMapEpoch: testSnapshot.ShardMapEpoch}
	is.NoErr(target.Apply(Command{Fault: FaultSnapshots, Services: map[string]Service{"jigs": {Snapshots: []ids.Snapshot{next}}}}))
	var reply struct{ Code status.Code }
	_, err := post(newClient(t), target, testRequest("q"), &reply)
	is.NoErr(err)
	is.Equal(reply.Code, status.Code(""))
	target.SetSnapshots("clamps", []ids.Snapshot{next})
	_, err = post(newClient(t), target, testRequest("q"), &reply)
	is.NoErr(err)
	is.Equal(reply.Code, status.VersionUnavailable)
	is.Equal(target.Record().Started, uint64(1))
}
