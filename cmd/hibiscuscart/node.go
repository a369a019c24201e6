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
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/node"
	"github.com/hibiscuscart/hibiscuscart/platform"
)

var nodeCommand = command{
	name: "node", args: "-settings FILE",
	summary:  "run the daemon of a VM that reads its deployment's configuration from the platform's store",
	examples: []string{"node -settings node.ini"},
	run:      runNode,
}

func runNode(ctx context.Context, fs *flag.FlagSet, args []string) error {
	file := fs.String("settings", "", "settings `FILE`")
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	if *file == "" {
		return usageErrorf("-settings is required")
	}
	if err := rejectArguments(fs); err != nil {
		return err
	}
	// SIGHUP is handled before the settings are read, so that it does not terminate a
	// starting process.
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	settings, err := conf.LoadNode(*file)
	if err != nil {
		return err
	}
	flush, err := setUpTraces(ctx, settings, settings.Text("vm", "name"))
	if err != nil {
		return err
	}
	logWriter := node.NewLogWriter(os.Stdout)
	n := node.New(nodeConfig(settings, logWriter))
	if err := n.Start(context.WithoutCancel(ctx)); err != nil {
		return errors.Join(fmt.Errorf("start: %w", err), logWriter.Close())
	}
	watchSettings(ctx, *file, sighup, n)
	err = errors.Join(n.Stop(), logWriter.Close())
	flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), traceFlushTimeout)
	defer cancel()
	return errors.Join(err, flush(flushCtx))
}

// traceFlushTimeout bounds the export of the remaining spans at exit, when the
// grace period is already over.
const traceFlushTimeout = 500 * time.Millisecond

// settingsPollInterval is the interval at which the settings file is checked for
// changes that were not announced by SIGHUP.
const settingsPollInterval = time.Second

// watchSettings reloads the settings on SIGHUP or when the file has changed,
// until ctx ends. Invalid settings are logged, and the previous ones stay active.
func watchSettings(ctx context.Context, file string, sighup <-chan os.Signal, n *node.Node) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := modTime(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
		case <-ticker.C:
			if m := modTime(file); m.Equal(lastModTime) {
				continue
			}
		}
		lastModTime = modTime(file)
		settings, err := conf.LoadNode(file)
		if err != nil {
			n.ReloadFailed(err)
			continue
		}
		n.Reload(settings)
	}
}

// modTime returns the modification time of the file. It returns the zero time if
// the file is not accessible, for example while it is being replaced.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func nodeConfig(settings *conf.Settings, logWriter *node.LogWriter) node.Config {
	level, err := zerolog.ParseLevel(settings.Text("log", "level"))
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	storeClient, serverClient := newHTTPClient(conns.Dial), newHTTPClient(conns.DialFrom(settings.Text("servers", "source")))
	return node.Config{
		Settings: settings, HeaderNames: &platform.HeaderNames, InstanceProbe: &platform.InstanceProbe,
		Objects:      platform.NewStoreClient(storeClient, settings.Text("store", "address")),
		ServerClient: platform.NewServerClient(serverClient),
		ConfigKind:   platform.ConfigKind, ConfigName: platform.ConfigName, ServerKind: platform.ServerKind,
		DecodeTable: platform.DecodeTable, DecodeEntry: platform.DecodeEntry,
		CloseIdleStoreConns: storeClient.CloseIdleConnections, DroppedLogLines: logWriter.Dropped,
		Now: clock.Now, Log: zerolog.New(logWriter).Level(level).With().Timestamp().Logger(),
	}
}

const (
	clientDialTimeout = time.Second
	// clientIdleTimeout closes idle connections to servers before the servers close
	// them.
	clientIdleTimeout = 3 * time.Second
)

// newHTTPClient returns a client whose connections detect an unreachable peer, and which reads no head without an end.
func newHTTPClient(dial func(ctx context.Context, address string) (net.Conn, error)) *http.Client {
	return &http.Client{Transport: httpx.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, clientDialTimeout)
			defer cancel()
			return dial(ctx, address)
		},
		DisableCompression: true, IdleConnTimeout: clientIdleTimeout, MaxIdleConnsPerHost: 4, MaxResponseHeaderBytes: conns.MaxHeadBytes,
	})}
}
