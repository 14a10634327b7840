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

// settingsPoll is the interval at which the settings file is compared, because it
// may change without a signal.
const settingsPoll = 2 * time.Second

// watchSettings reads the settings file again after SIGHUP and when its content
// changed, until ctx ends. A file with a fault is refused as a whole.
func (d *RelayDaemon) watchSettings(ctx context.Context, path string) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	tick := time.NewTicker(settingsPoll)
	defer tick.Stop()
	seen, err := os.ReadFile(path)
	if err != nil {
		d.log.Warn().Err(err).Msg("settings file cannot be read; a change is noticed later")
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signalled = true
		case <-tick.C:
		}
		data, err := os.ReadFile(path)
		if err != nil {
			d.log.Warn().Err(err).Msg("settings file cannot be read; the settings in force stay")
			continue
		}
		if !signalled && bytes.Equal(data, seen) {
			continue
		}
		seen = data
		d.reload(path)
	}
}

// reload puts the settings of the file in force that can change while the process
// runs: the seeds.
func (d *RelayDaemon) reload(path string) {
	next := settings.NewRelay()
	if err := settings.Load(path, next); err != nil {
		d.audit.Record(time.Now(), audit.SettingsRefused, d.self.Entry, err.Error())
		return
	}
	d.syncer.SetPeers(d.seeds(next.Seeds))
	fixed := *next
	fixed.Seeds = d.settings.Seeds
	detail := "seeds are in force"
	if !reflect.DeepEqual(&fixed, d.settings) {
		detail += "; other changes need a restart"
	}
	d.audit.Record(time.Now(), audit.SettingsReloaded, d.self.Entry, detail)
}
