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

// recorder is an engine that knows one fact and records what it is told.
type recorder struct {
	own  FactSet
	told chan FactSet
}

func (r *recorder) Collect() FactSet { return r.own }
func (r *recorder) Receive(_ string, f FactSet) {
	select {
	case r.told <- f:
	default:
	}
}

// Guards against a break between Syncer, pool and server: documents, members
// and facts pass over real connections, and nothing is left running.
func TestTwoEntriesOverTheWire(t *testing.T) {
	is := is.New(t)
	key := []byte("0123456789abcdef0123456789abcdef")
	w := newWorld()
	w.publish(platformapi.SheetKey, sheetOf(1, "first"))
	w.publish(platformapi.IndexKey, `{"revision": 1}`)
	w.fail("b", status.New(status.Unavailable, "", "platform is down"))
	ctx, cancel := context.WithCancel(context.Background())
	var syncers []*Syncer
	var stopped []chan struct{}
	engines := []*recorder{{told: make(chan FactSet, 1)}, {told: make(chan FactSet, 1)}}
	engines[0].own.Leaving = []*peerpb.Leaving{{Target: "t1", RemainingMs: 5000}}
	var peers []Peer
	for i, id := range []string{"a", "b"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		pool := peerrpc.NewPool(key, peerrpc.Options{})
		self := Peer{id, "z", listener.Addr().String()}
		s := New(Config{Entry: id, Zone: "z", Address: self.Address, Incarnation: ids.NewIncarnation(), Peers: peers, ExchangeInterval: 10 * time.Millisecond},
			Deps{Platform: client{w, id}, Peers: pool, Facts: engines[i], Audit: audit.New(zerolog.Nop()), Log: zerolog.Nop(), ParseSheet: parseSheet, ParseIndex: parseIndex})
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
	eventually(t, "a heard of b, which it did not know", func() bool {
		members := syncers[0].Members()
		return len(members) == 1 && members[0].Entry == "b" && members[0].Address == peers[1].Address && members[0].Alive
	})
	is.Equal((<-engines[1].told).Leaving[0].Target, "t1")
	cancel()
	for _, done := range stopped {
		<-done
		<-done
	}
}

// handlers serves the parts of the protocol that belong to a Syncer.
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

// benchSheets returns the compact JSON of a sheet and of the same with one
// service changed. Today's services have 3 targets each; a sheet of 3,500 such
// services would exceed 1 MB, so its targets are fewer.
