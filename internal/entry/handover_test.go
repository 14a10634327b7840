package entry

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/state/audit"
)

// Guards against a handover without an audit event: the audit trail of the successor names the entry
// and the incarnation that stopped.
func TestSuccessorRecordsTheHandover(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon(t)
	stopped := ids.NewIncarnation()
	reply, err := d.engine.HandleHandover(context.Background(), &peerpb.HandoverRequest{
		Entry: "entry-1", Incarnation: stopped[:], PermitRemainingMs: 1_000, Complete: true,
	})
	is.NoErr(err)
	is.True(reply.Accepted)
	events := d.audit.Events()
	is.Equal(len(events), 1)
	is.Equal(events[0].Kind, audit.Succession)
	is.Equal(events[0].Actor, "peer entry-1")
	is.True(strings.Contains(events[0].Detail, stopped.String()))
}
