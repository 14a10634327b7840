package entry

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/balsamstall/balsamstall/internal/settings"
	"github.com/balsamstall/balsamstall/state/audit"
)

// settingsPollInterval is the interval at which the settings file is checked for changes, because
// it may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings file after SIGHUP and when its content has changed, until ctx
// ends. A file with an invalid setting is rejected as a whole.
func (d *RelayDaemon) watchSettings(ctx context.Context, path string, overrides []string) {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	lastData, err := os.ReadFile(path)
	if err != nil {
		d.log.Warn().Err(err).Msg("cannot read the settings file; a change will be detected later")
	}
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-sighup:
			signaled = true
		case <-tick.C:
		}
		data, err := os.ReadFile(path)
		if err != nil {
			d.log.Warn().Err(err).Msg("cannot read the settings file; keeping the current settings")
			continue
		}
		if !signaled && bytes.Equal(data, lastData) {
			continue
		}
		lastData = data
		d.reload(path, overrides)
	}
}

// reload applies the settings of the file that can change at run time, which are the seeds.
func (d *RelayDaemon) reload(path string, overrides []string) {
	next := settings.NewRelay()
	if err := settings.Load(path, next, overrides...); err != nil {
		d.audit.Record(time.Now(), audit.SettingsRefused, d.self.Entry, err.Error())
		return
	}
	d.syncer.SetPeers(d.seeds(next.Seeds))
	withCurrentSeeds := *next
	withCurrentSeeds.Seeds = d.settings.Seeds
	detail := "applied the seeds"
	if !reflect.DeepEqual(&withCurrentSeeds, d.settings) {
		detail += "; other changes require a restart"
	}
	d.audit.Record(time.Now(), audit.SettingsReloaded, d.self.Entry, detail)
}
