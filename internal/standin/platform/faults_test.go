package platform

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/platformapi"
)

// tryGet sends a GET as the given entry and returns the HTTP status, or 0 without a reply.
func tryGet(p *Platform, entry, path string) int {
	req, err := http.NewRequest("GET", "http://"+p.Addr()+path, nil)
	if err != nil {
		return 0
	}
	req.Close = true
	req.Header.Set(EntryHeader, entry)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Guards against an outage that does not fail all calls and waiting watches, or that a command
// cannot end.
func TestOutage(t *testing.T) {
	for _, c := range []struct {
		mode Mode
		want int
	}{
		{ModeUnavailable, http.StatusServiceUnavailable},
		{ModeReset, 0},
		{ModeRefuse, 0},
	} {
		t.Run(string(c.mode), func(t *testing.T) {
			is := is.New(t)
			p := startPlatform(t, NewSettings(""))
			watch := make(chan int)
			go func() { watch <- tryGet(p, "e1", "/v1/watch/sheet?wait_ms=60000") }()
			for p.Calls().Served == 0 {
				time.Sleep(time.Millisecond)
			}
			is.NoErr(p.Apply(Command{Fault: FaultOutage, Mode: c.mode}))
			is.Equal(<-watch, c.want)
			is.Equal(tryGet(p, "e1", platformapi.HostsPath), c.want)
			is.NoErr(p.Apply(Command{Fault: FaultClear}))
			for tryGet(p, "e1", platformapi.HostsPath) != http.StatusOK {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// Guards against calls that get an answer although they should hang, and against hanging calls that
// prevent the platform from stopping.
func TestHang(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t, NewSettings(""))
	is.NoErr(p.Apply(Command{Fault: FaultOutage, Mode: ModeHang}))
	done := make(chan int)
	go func() { done <- tryGet(p, "e1", platformapi.HostsPath) }()
	for p.Calls().Failed == 0 {
		time.Sleep(time.Millisecond)
	}
	p.Close()
	is.Equal(<-done, 0)
}

// Guards against a refusal of connections that outlasts its duration, that resets the connection of
// the command that starts it, or that no command could end.
func TestRefusedConnectionsEnd(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t, NewSettings(""))
	code, _ := call(t, p, "POST", FaultsPath, `{"fault":"outage","mode":"refuse"}`)
	is.Equal(code, http.StatusBadRequest) // No command could end the outage.
	code, _ = call(t, p, "POST", FaultsPath, `{"fault":"outage","mode":"refuse","duration_ms":1}`)
	is.Equal(code, http.StatusOK)
	for tryGet(p, "e1", platformapi.HostsPath) != http.StatusOK {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(p.Apply(Command{Fault: FaultOutage, Mode: ModeRefuse}))
	_, err := net.Dial("tcp", p.Addr())
	is.True(err != nil)
}

// Guards against a stale replica that answers calls or watches with newer versions than it has.
func TestStaleReplica(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t, NewSettings(""))
	publish := func(value string) {
		_, err := p.Publish("sheet", []byte(value))
		is.NoErr(err)
	}
	get := func(path string) string {
		_, body := call(t, p, "GET", path, "")
		return body
	}
	publish(`1`)
	publish(`2`)
	is.NoErr(p.Apply(Command{Fault: FaultStale, Back: 1}))
	publish(`3`)
	is.True(strings.Contains(get("/v1/config/sheet"), `"version":1`))
	is.Equal(get("/v1/watch/sheet?after=1&wait_ms=1"), "")
	watch := make(chan string)
	go func() { watch <- get("/v1/watch/sheet?after=1&wait_ms=60000") }()
	is.NoErr(p.Apply(Command{Fault: FaultStale, Off: true}))
	is.True(strings.Contains(<-watch, `"version":3`))
}

// Guards against a restore that keeps the changes since the backup or does not use their versions again.
func TestRestore(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t, NewSettings(""))
	for _, value := range []string{`1`, `2`, `3`} {
		_, err := p.Publish("sheet", []byte(value))
		is.NoErr(err)
	}
	get := func() string {
		_, body := call(t, p, "GET", "/v1/config/sheet", "")
		return body
	}
	is.NoErr(p.Apply(Command{Fault: FaultRestore, Back: 2}))
	is.True(strings.Contains(get(), `"version":1,"value":1`))
	_, err := p.Publish("sheet", []byte(`4`))
	is.NoErr(err)
	is.True(strings.Contains(get(), `"version":2,"value":4`))
}

// Guards against a cut that affects other entries or the control interface.
func TestCut(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t, NewSettings(""))
	code, _ := call(t, p, "POST", FaultsPath, `{"fault":"cut","entries":["e1","e2"]}`)
	is.Equal(code, http.StatusOK)
	is.Equal(tryGet(p, "e1", platformapi.HostsPath), 0)
	is.Equal(tryGet(p, "e3", platformapi.HostsPath), http.StatusOK)
}

// Guards against calls above the rate limit being served, and against counts that miss calls.
func TestRateCapAndCalls(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t, NewSettings(""))
	is.NoErr(p.Apply(Command{Fault: FaultRate, CallsPerSecond: 1}))
	// The limiter refills with the clock, so that only the first call is certain to be allowed.
	is.Equal(tryGet(p, "e1", platformapi.HostsPath), http.StatusOK)
	limited := 0
	for limited == 0 {
		if tryGet(p, "e2", platformapi.HostsPath) == http.StatusTooManyRequests {
			limited++
		}
	}
	calls := p.Calls()
	is.Equal(calls.RateLimited, int64(1))
	is.Equal(calls.Total, calls.Served+calls.RateLimited)
	is.Equal(calls.ByEntry["e1"], int64(1))
	is.Equal(calls.ByKind[KindHosts], calls.Total)
	code, _ := call(t, p, "DELETE", CallsPath, "")
	is.Equal(code, http.StatusNoContent)
	is.Equal(p.Calls().Total, int64(0))
}

// Guards against a host list that clients see before the lag has passed.
func TestHostsLag(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t, NewSettings(""))
	is.NoErr(p.Apply(Command{Fault: FaultHostsLag, LagMS: maxLagMS}))
	p.SetHosts([]platformapi.Host{{ID: "e1"}})
	is.Equal(len(p.visibleHosts(time.Now())), 0)
	is.Equal(len(p.visibleHosts(time.Now().Add(maxLagMS*time.Millisecond))), 1)
}
