package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/balsamstall/balsamstall/coordination/delta"
	"github.com/balsamstall/balsamstall/coordination/membership"
	"github.com/balsamstall/balsamstall/coordination/revision"
	"github.com/balsamstall/balsamstall/internal/configsync/documents"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/state/audit"
)

// benchSheets returns a sheet in compact JSON, and the same sheet with one service changed.
// Services typically have 3 targets each; the sheet of 3,500 services has fewer and 1 MB. The sheet of 10,000
// services has the size of the largest configuration, translated.
func benchSheets(b *testing.B, services, targets int) [2]*delta.Document {
	sh := sheet.Sheet{Date: "2026-12-04", Workspaces: []sheet.Workspace{{Name: "w1"}}}
	for i := range services {
		sh.Services = append(sh.Services, sheet.Service{Name: fmt.Sprintf("quote-%04d", i), Group: "quote-desk", Priority: 1 + i%9,
			Latency: sheet.Latency{ContractMS: 110, MaxDeadlineMS: 400}, Coverage: sheet.Coverage{MinRatio: 0.95},
			Repeat: sheet.Repeat{Rule: sheet.Idempotent}, Limits: sheet.Limits{MaxConcurrency: 64, MaxQueue: 128, MaxFanout: 68},
			Hedge: sheet.Hedge{BudgetRatio: 0.05}})
	}
	for i := range targets {
		sh.Targets = append(sh.Targets, sheet.Target{ID: fmt.Sprintf("t%05d", i), Zone: fmt.Sprintf("z%d", i%18),
			Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Slots: 3, MaxConnections: 30})
	}
	var pair [2]*delta.Document
	for i := range pair {
		sh.Revision = uint64(i + 1)
		sh.Services[services/2].Limits.MaxConcurrency += i
		data, err := json.Marshal(sh)
		if err == nil {
			pair[i], err = delta.New(data)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
	return pair
}

// BenchmarkChange measures the cost of changing one service: at the sending entry, once for all its
// peers, and at each receiving entry, from the reply to the view, with full decoding and with
// decoding of the changed parts only. reply-bytes is the size of the reply.
func BenchmarkChange(b *testing.B) {
	full := Deps{Audit: audit.New(zerolog.Nop()), ParseSheet: parseSheet, ParseIndex: parseIndex}
	incremental := full
	incremental.CheckSheet = func(*sheet.Sheet) error { return nil }
	for _, size := range []struct{ services, targets int }{{35, 105}, {350, 1050}, {3500, 600}, {10_000, 0}} {
		pair := benchSheets(b, size.services, size.targets)
		var docs [2]*documents.Document
		for i, content := range pair {
			docs[i] = &documents.Document{Version: revision.Version{Revision: uint64(i + 1), Digest: content.Digest()}, Content: content}
		}
		for _, kind := range []string{"delta", "whole"} {
			base := docs[0]
			if kind == "whole" {
				base = nil
			}
			reply := encodeTransfer(platformapi.SheetKey, docs[1], base, true)
			b.Run(fmt.Sprintf("services=%d/%s/send", size.services, kind), func(b *testing.B) {
				for b.Loop() {
					encodeTransfer(platformapi.SheetKey, docs[1], base, true)
				}
				b.ReportMetric(float64(proto.Size(reply)), "reply-bytes")
			})
			for name, deps := range map[string]Deps{"receive": full, "receive-partly": incremental} {
				b.Run(fmt.Sprintf("services=%d/%s/%s", size.services, kind, name), func(b *testing.B) {
					benchReceive(b, deps, docs[0], base, reply)
				})
			}
		}
	}
}

// benchReceive applies the reply at an entry whose current document is current.
func benchReceive(b *testing.B, deps Deps, current, base *documents.Document, reply *peerpb.FetchReply) {
	first := New(Config{Entry: "e"}, deps)
	if first.accept(platformapi.SheetKey, current.Content, origin{actor: "peer"}) != revision.Accept {
		b.Fatal("the base document was not accepted")
	}
	initial := first.store.Current(platformapi.SheetKey)
	b.ReportAllocs()
	for b.Loop() {
		s := New(Config{Entry: "e"}, deps)
		s.store.Replace(platformapi.SheetKey, initial)
		content, err := decodeTransfer(base, reply)
		if err != nil || s.accept(platformapi.SheetKey, content, origin{actor: "peer"}) != revision.Accept {
			b.Fatal("the change was not accepted")
		}
	}
}

// BenchmarkExchange measures the cost of one exchange at the called peer. An entry makes two
// calls a second and receives two, which is 8 messages a second.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{9, 300, 5300} {
		s := New(Config{Entry: "e", Zone: "z0", Address: "10.0.0.1:7000"}, Deps{Audit: audit.New(zerolog.Nop()), ParseSheet: parseSheet, ParseIndex: parseIndex})
		for i, key := range (Config{}).withDefaults().Keys {
			content, err := delta.New([]byte(fmt.Sprintf(`{"revision":%d}`, i+1)))
			if err != nil {
				b.Fatal(err)
			}
			s.accept(key, content, origin{actor: "platform"})
		}
		for i := range n - 1 {
			s.table.RecordAlive(time.Now(), time.Now().Add(-time.Second), membership.Entry{ID: fmt.Sprintf("entry-%04d", i), Zone: fmt.Sprintf("z%d", i%18),
				Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Incarnation: ids.NewIncarnation()})
		}
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			in := s.message(true, false)
			in.Entry = "entry-0001"
			for b.Loop() {
				if _, err := s.HandleExchange(context.Background(), in); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(proto.Size(in)), "message-bytes")
			b.ReportMetric(float64(proto.Size(s.message(false, false))), "push-bytes")
		})
	}
}
