package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/node"
	"github.com/hibiscuscart/hibiscuscart/platform"
)

var nodeCommand = command{
	name: "node", args: "-settings FILE",
	summary:  "run the daemon of a VM that finds the rest of its deployment in the platform's store",
	examples: []string{"node -settings node.ini"},
	run:      runNode,
}

func runNode(ctx context.Context, fs *flag.FlagSet, args []string) error {
	file := fs.String("settings", "", "settings `FILE`")
	if err := parse(fs, args); err != nil {
		return err
	}
	if *file == "" {
		return misuse("-settings must be given")
	}
	if err := noArguments(fs); err != nil {
		return err
	}
	settings, err := conf.LoadNode(*file)
	if err != nil {
		return err
	}
	// From here on, a SIGHUP that comes while the VM starts does not end it.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	flush, err := setUpTraces(ctx, settings, settings.Text("vm", "name"))
	if err != nil {
		return err
	}
	out := node.NewLogWriter(os.Stdout)
	n := node.New(nodeConfig(settings, out))
	if err := n.Start(context.WithoutCancel(ctx)); err != nil {
		return errors.Join(fmt.Errorf("start: %w", err), out.Close())
	}
	watchSettings(ctx, *file, hangup, n)
	err = errors.Join(n.Stop(), out.Close())
	flushing, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushLimit)
	defer cancel()
	return errors.Join(err, flush(flushing))
}

// flushLimit bounds the sending of spans at the end of the process, whose grace
// time is over by then.
const flushLimit = 500 * time.Millisecond

// settingsEvery is how often the settings file is looked at for a change that
// no signal told of.
const settingsEvery = time.Second

// watchSettings reloads the settings on SIGHUP or when the file has changed,
// until ctx ends. Settings that are wrong are logged and the old ones stay.
func watchSettings(ctx context.Context, file string, hangup <-chan os.Signal, n *node.Node) {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	last := modified(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if m := modified(file); m.Equal(last) {
				continue
			}
		}
		last = modified(file)
		settings, err := conf.LoadNode(file)
		if err != nil {
			n.ReloadFailed(err)
			continue
		}
		n.Reload(settings)
	}
}

// modified returns when the file was changed last; the zero time when it can
// not be looked at, as while it is being replaced.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func nodeConfig(settings *conf.Settings, out *node.LogWriter) node.Config {
	level, err := zerolog.ParseLevel(settings.Text("log", "level"))
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	store, servers := plainClient(), plainClient()
	return node.Config{
		Settings: settings, HeaderNames: &platform.HeaderNames,
		Objects:    platform.NewStoreClient(store, settings.Text("store", "address")),
		Commands:   platform.NewCommands(servers),
		ConfigKind: platform.ConfigKind, ConfigName: platform.ConfigName, ServerKind: platform.ServerKind,
		DecodeTable: platform.DecodeTable, DecodeEntry: platform.DecodeEntry,
		CloseIdleStoreConns: store.CloseIdleConnections, DroppedLogLines: out.Dropped,
		Now: clock.Now, Log: zerolog.New(out).Level(level).With().Timestamp().Logger(),
	}
}

const (
	clientDial = time.Second
	// clientIdle closes idle connections to servers before the servers do.
	clientIdle = 3 * time.Second
)

// plainClient returns a client whose connections notice a dead peer.
func plainClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, clientDial)
			defer cancel()
			return conns.Dial(ctx, address)
		},
		DisableCompression: true, IdleConnTimeout: clientIdle, MaxIdleConnsPerHost: 4,
	}}
}
