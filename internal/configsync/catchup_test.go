package configsync

import (
	"context"
	"testing"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/state/audit"
)

func TestCatchUpDoesNotWaitForCallsToLostPeers(t *testing.T) {
	env := newTestEnv()
	env.publish(platformapi.SheetKey, sheetJSON(7, "x"))
	up := env.startEntry(t, "up")
	eventually(t, "the peer has the sheet", func() bool { return up.revision() == 7 })

	client := entryClient{env, "behind"}
	s := New(Config{Entry: "behind", Peers: []Peer{{Entry: "up", Address: "up"}}},
		Deps{Platform: client, Peers: client, Audit: audit.New(zerolog.Nop()), ParseSheet: parseSheet, ParseIndex: parseIndex})
	for range maxConcurrentExchanges {
		s.callSlots <- struct{}{}
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.offerLoop(ctx, platformapi.SheetKey)
	}()
	s.CatchUp("up")
	eventually(t, "the entry has caught up", func() bool { return s.Current().Sheet != nil && s.Current().Sheet.Revision == 7 })
	cancel()
	<-done
}
