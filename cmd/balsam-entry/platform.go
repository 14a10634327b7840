package main

import (
	"net"
	"runtime/debug"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/internal/entry"
	"github.com/balsamstall/balsamstall/internal/feed"
	"github.com/balsamstall/balsamstall/internal/relay"
	"github.com/balsamstall/balsamstall/internal/settings"
	"github.com/balsamstall/balsamstall/platform/backend"
	"github.com/balsamstall/balsamstall/platform/gateway"
	"github.com/balsamstall/balsamstall/platform/store"
	"github.com/balsamstall/balsamstall/state/bytebudget"
	"github.com/balsamstall/balsamstall/transport/bodyread"
	"github.com/balsamstall/balsamstall/transport/targethttp"
)

// gcPercent is the growth of the heap, in percent, that triggers a garbage collection. A value below
// the default of 100 saves memory, which is costly on the hosts, and uses more processor time, which
// is available.
const gcPercent = 50

// relayPlatform relays the requests of the users' platform until the process is stopped. The seeds in the
// settings file are reloaded after SIGHUP and when the file changes.
func relayPlatform(args arguments, set *settings.Relay, log zerolog.Logger) error {
	debug.SetGCPercent(gcPercent)
	limitMemory(set.MemoryMB)
	set.Zone = store.ZoneName(set.Zone)
	client, err := store.New(set.PlatformAddress, log)
	if err != nil {
		return err
	}
	defer client.Close()
	daemon, err := entry.NewRelayDaemon(set, log, entry.RelayDeps{
		Documents: feed.New(client, log),
		NewTargets: func(m targethttp.Metrics, budget *bytebudget.Budget) relay.TargetClient {
			client := backend.New(m)
			client.SetBudget(budget)
			return client
		},
		NewServers: func(callers, ready net.Listener, r *relay.Relay, budget *bytebudget.Budget, maxConnections int) []transport.Server {
			bounds := gateway.Options{Ingress: bodyread.NewIngress(budget), MaxConnections: maxConnections}
			return []transport.Server{gateway.NewBoundedServer(callers, r, bounds), gateway.NewReadyServer(ready, r)}
		},
	})
	if err != nil {
		return err
	}
	return daemon.Run(args.Config, args.Set...)
}
