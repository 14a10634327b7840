package configsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
)

// Guards against entries that discover each other only with the regular exchanges of every 500 ms
// after a power loss of the whole fleet. On fixture-commons-large, requests in the first second
// after the startup then ran on entries without connections.
func TestStartingFleetDiscoversItself(t *testing.T) {
	const entries = 40
	env := newTestEnv()
	env.exchangeInterval = time.Hour // Only the initial exchanges have a shorter interval.
	env.memberExpiry = time.Hour
	var fleet []*testEntry
	for i := range entries {
		fleet = append(fleet, env.startEntry(t, fmt.Sprintf("e%d", i), "e0", "e1", "e2"))
	}
	eventually(t, "every entry has seen most of the fleet", func() bool {
		for _, e := range fleet {
			seen := 0
			for _, m := range e.Members() {
				if m.Incarnation != (ids.Incarnation{}) {
					seen++
				}
			}
			if seen < entries*3/4 {
				return false
			}
		}
		return true
	})
}

// Guards against a recently started entry that receives only a small sample of the members because
// it already knows some.
func TestYoungEntryReceivesAllMembers(t *testing.T) {
	is := is.New(t)
	env := newTestEnv()
	env.exchangeInterval = time.Hour
	s := env.startEntry(t, "e0")
	for i := range 60 {
		inc := ids.NewIncarnation()
		_, err := s.HandleExchange(t.Context(), &peerpb.ExchangeRequest{Entry: fmt.Sprintf("old-%d", i), Zone: "z", Address: "a", Incarnation: inc[:], UptimeMs: 60_000})
		is.NoErr(err)
	}
	var known []*peerpb.Member
	for range bootstrapMemberLimit {
		known = append(known, &peerpb.Member{})
	}
	exchangedMembers := func(uptime time.Duration) int {
		inc := ids.NewIncarnation()
		reply, err := s.HandleExchange(t.Context(), &peerpb.ExchangeRequest{Entry: "new", Zone: "z", Address: "b", Incarnation: inc[:],
			UptimeMs: uptime.Milliseconds(), Members: known})
		is.NoErr(err)
		return len(reply.Members)
	}
	is.True(exchangedMembers(bootstrapUptimeLimit/2) >= 60)
	is.True(exchangedMembers(2*bootstrapUptimeLimit) <= 12)
}
