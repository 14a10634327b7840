package peerpb_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/balsamstall/balsamstall/protocol/peerpb"
)

// FuzzUnmarshal guards against panics on input from a peer, and against messages that do not
// survive a round trip through the encoding.
func FuzzUnmarshal(f *testing.F) {
	seed, err := proto.Marshal(&peerpb.HandoverRequest{
		Entry: "entry-1", Incarnation: make([]byte, 16), Complete: true, IssuerClockNs: 1 << 40,
		Records: []*peerpb.JournalRecord{{Sequence: 1, Outcome: "done", HttpStatus: 200, Body: []byte("{}"), RemainingMs: -1}},
	})
	if err != nil {
		f.Fatal(err)
	}
	for _, data := range [][]byte{nil, seed, seed[:len(seed)-1], {0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f}, {0x12, 0x01, 0xff}} {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, m := range []proto.Message{
			&peerpb.ForwardRequest{}, &peerpb.ForwardReply{}, &peerpb.ExchangeRequest{}, &peerpb.ExchangeReply{},
			&peerpb.FetchRequest{}, &peerpb.FetchReply{}, &peerpb.HandoverRequest{}, &peerpb.HandoverReply{},
		} {
			if proto.Unmarshal(data, m) != nil {
				continue
			}
			redecoded := m.ProtoReflect().New().Interface()
			encoded, err := proto.Marshal(m)
			if err != nil || proto.Unmarshal(encoded, redecoded) != nil || !proto.Equal(m, redecoded) {
				t.Fatalf("%T: %v became %v, %v", m, m, redecoded, err)
			}
		}
	})
}
