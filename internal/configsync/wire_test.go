package configsync

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/state/audit"
	"github.com/balsamstall/balsamstall/transport/peerrpc"
)

// fakeFacts implements Facts with fixed own facts. It sends received facts to a channel and drops
// them if the channel is full.
type fakeFacts struct {
	own      FactSet
	received chan FactSet
}

func (r *fakeFacts) Collect() FactSet { return r.own }
func (r *fakeFacts) Receive(_ string, f FactSet) {
	select {
	case r.received <- f:
	default:
	}
}

// Guards against an incompatibility between Syncer, pool and server: documents, members and facts
// are exchanged over real connections, and all goroutines end.
func TestTwoEntriesOverTheWire(t *testing.T) {
	is := is.New(t)
	key := []byte("0123456789abcdef0123456789abcdef")
	env := newTestEnv()
	env.publish(platformapi.SheetKey, sheetJSON(1, "first"))
	env.publish(platformapi.IndexKey, `{"revision": 1}`)
	env.setPlatformError("b", status.New(status.Unavailable, "", "platform is down"))
	ctx, cancel := context.WithCancel(context.Background())
	var syncers []*Syncer
	var stopped []chan struct{}
	facts := []*fakeFacts{{received: make(chan FactSet, 1)}, {received: make(chan FactSet, 1)}}
	facts[0].own.Leaving = []*peerpb.Leaving{{Target: "t1", RemainingMs: 5000}}
	var peers []Peer
	for i, id := range []string{"a", "b"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		pool := peerrpc.NewPool(key, peerrpc.Options{})
		self := Peer{id, "z", listener.Addr().String()}
		s := New(Config{Entry: id, Zone: "z", Address: self.Address, Incarnation: ids.NewIncarnation(), Peers: peers, ExchangeInterval: 10 * time.Millisecond},
			Deps{Platform: entryClient{env, id}, Peers: pool, Facts: facts[i], Audit: audit.New(zerolog.Nop()), Log: zerolog.Nop(), ParseSheet: parseSheet, ParseIndex: parseIndex})
		peers = append(peers, self)
		syncers = append(syncers, s)
		done := make(chan struct{}, 2)
		stopped = append(stopped, done)
		go func() {
			if err := peerrpc.NewServer(key, &handlers{Syncer: s}, zerolog.Nop()).Serve(ctx, listener); err != nil {
				t.Error(err)
			}
			done <- struct{}{}
		}()
		go func() {
			s.Run(ctx)
			pool.Close()
			done <- struct{}{}
		}()
	}
	eventually(t, "b is ready without the platform", syncers[1].Ready)
	eventually(t, "a has discovered b, which it did not know", func() bool {
		members := syncers[0].Members()
		return len(members) == 1 && members[0].Entry == "b" && members[0].Address == peers[1].Address && members[0].Alive
	})
	is.Equal((<-facts[1].received).Leaving[0].Target, "t1")
	cancel()
	for _, done := range stopped {
		<-done
		<-done
	}
}

// handlers serves the methods of the peer protocol that a Syncer implements.
type handlers struct {
	peerpb.DRPCPeerUnimplementedServer
	*Syncer
}

func (h handlers) Exchange(ctx context.Context, in *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return h.HandleExchange(ctx, in)
}

func (h handlers) Fetch(ctx context.Context, in *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	return h.HandleFetch(ctx, in)
}
