package entry

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/internal/settings"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/state/audit"
)

// newTestDaemon returns a daemon with open listeners that is not running.
func newTestDaemon(t *testing.T) *Daemon {
	t.Helper()
	set := settings.NewEntry()
	set.ID, set.Zone = "entry-0", "az-1"
	set.CallerAddress, set.AdminAddress, set.PeerAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	set.PlatformAddress = "127.0.0.1:1"
	set.PolicyMode = settings.PolicyOff
	set.PeerKey = "peer-key-of-the-test-0123456789abcd"
	set.PermitKey = "permit-key-of-the-test-0123456789ab"
	set.Peers = []settings.Peer{{ID: "entry-1", Zone: "az-2", Address: "127.0.0.1:2"}}
	d, err := NewDaemon(set, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a change of the JSON that operators read: balsam-ctl would show a renamed or
// missing field as zero.
func TestStatusAndAuditKeepTheirJSON(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon(t)
	s, index := testDocuments(1)
	s.Services, s.Targets = s.Services[:1], s.Targets[:1]
	d.engine.SetDocuments(s, index)
	d.audit.Record(time.Unix(1_796_353_560, 0).UTC(), audit.Started, "entry-0", "incarnation x")

	got, err := json.Marshal(d.Status())
	is.NoErr(err)
	text := strings.ReplaceAll(string(got), d.self.Incarnation.String(), "INC")
	zero := ids.Incarnation{}.String()
	is.Equal(text, `{"id":"entry-0","zone":"az-1","incarnation":"INC","ready":false,"draining":false,"sheet_revision":1,"index_revision":1,"policy_mode":"off",`+
		`"peers":[{"id":"entry-1","zone":"az-2","address":"127.0.0.1:2","alive":false,"incarnation":"`+zero+`"}],`+
		`"services":[{"name":"quote-desk-1","in_flight":0,"queued":0,"limit":0,"answered":0,"refused":0}],`+
		`"targets":[{"id":"target-0","zone":"az-1","in_flight":0,"ewma_ms":0,"leaving":false,"open_connections":0}]}`)

	got, err = json.Marshal(d.Audit())
	is.NoErr(err)
	is.Equal(string(got), `{"events":[{"time":"2026-12-04T03:06:00Z","sequence":1,"kind":"started","actor":"entry-0","detail":"incarnation x"}]}`)
	got, err = json.Marshal(newTestDaemon(t).Audit())
	is.NoErr(err)
	is.Equal(string(got), `{"events":[]}`)
}
