package entry

import (
	"time"

	"github.com/balsamstall/balsamstall/coordination/confirm"
	"github.com/balsamstall/balsamstall/internal/configsync"
	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/sheet"
)

// unconfirmedReadAge is the age of the last confirmation of a document at which an entry that does not watch
// the platform reads it. It exceeds the time of a watch and of the exchanges that pass its result on.
const unconfirmedReadAge = 3 * configsync.DefaultWatchWait / 2

// wireSync creates the syncer, which supplies the engine with documents and the host list and
// exchanges facts with peers.
func (d *Daemon) wireSync() {
	set := d.settings
	cfg := configsync.Config{
		Entry:            set.ID,
		Zone:             set.Zone,
		Address:          set.PeerAddress,
		Incarnation:      d.self.Incarnation,
		WatchersPerZone:  int(set.WatchersPerZone),
		PushFanout:       int(set.PushFanout),
		ExchangeInterval: time.Duration(set.ExchangeIntervalMS) * time.Millisecond,
		PollInterval:     time.Duration(set.PollIntervalMS) * time.Millisecond,
		Confirm:          confirm.Settings{MaxAge: unconfirmedReadAge},
	}
	if cfg.PushFanout == 0 {
		cfg.PushFanout = -1 // Zero would select the default.
	}
	for _, p := range set.Peers {
		cfg.Peers = append(cfg.Peers, configsync.Peer{Entry: p.ID, Zone: p.Zone, Address: p.Address})
	}
	d.syncer = configsync.New(cfg, configsync.Deps{
		Platform:   d.platform,
		Peers:      d.pool,
		Facts:      d.facts,
		Audit:      d.audit,
		Log:        d.log,
		ParseSheet: sheet.Parse,
		ParseIndex: index.Parse,
		CheckSheet: checkSheet,
		CheckIndex: checkIndex,
		OnReadFailure: func(key string) {
			d.metrics.PlatformFailures.Add(key, 1)
		},
		OnOverdueRead: func(key string) { d.metrics.OverdueReads.Add(key, 1) },
		OnRefused:     func(key string) { d.metrics.DocumentsRefused.Add(key, 1) },
		OnChange:      d.onChange,
		OnHosts:       d.onHosts,
	})
	d.metrics.ConfirmedAge = confirmedAges(d.syncer, platformapi.SheetKey, platformapi.IndexKey)
}

func checkSheet(s *sheet.Sheet) error {
	if faults := s.Check(); len(faults) > 0 {
		return &sheet.Error{Kind: "sheet", Faults: faults}
	}
	return nil
}

func checkIndex(d *index.Document) error {
	if faults := d.Check(); len(faults) > 0 {
		return &index.Error{Kind: "index", Faults: faults}
	}
	return nil
}

// onChange makes the engine use new documents once both are known.
func (d *Daemon) onChange(v *configsync.View) {
	if v.Sheet != nil && v.Index != nil {
		d.engine.SetDocuments(v.Sheet, v.Index)
	}
}

// onHosts marks the targets that the platform lists as leaving.
func (d *Daemon) onHosts(hosts []platformapi.Host) {
	for _, h := range hosts {
		if h.Kind == platformapi.KindTarget && h.State == platformapi.HostLeaving {
			d.engine.core.MarkLeaving(h.ID, engine.LeavingPeriod)
		}
	}
}
