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
	"github.com/balsamstall/balsamstall/transport/targethttp"
)

// memoryShare is the part of the process's memory at which the collector works
// harder. The rest is for stacks and for bytes that wait in sockets.
const memoryShare = 0.7

// collectAt is the growth of the heap in percent at which garbage is collected.
// Memory has a price on these machines, and processors have time.
const collectAt = 50

// relayPlatform serves the users' platform with the settings of the file at path.
func relayPlatform(path string, set *settings.Relay, log zerolog.Logger) error {
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(memoryShare * float64(set.MemoryMB<<20)))
	client, err := store.New(set.PlatformAddress, log)
	if err != nil {
		return err
	}
	defer client.Close()
	daemon, err := entry.NewRelayDaemon(set, log, entry.RelayDeps{
		Documents:  feed.New(client, log),
		NewTargets: func(m targethttp.Metrics) relay.TargetClient { return backend.New(m) },
		NewServers: func(callers, ready net.Listener, r *relay.Relay) []transport.Server {
			return []transport.Server{gateway.NewServer(callers, r), gateway.NewReadyServer(ready, r)}
		},
	})
	if err != nil {
		return err
	}
	return daemon.Run(path)
}
