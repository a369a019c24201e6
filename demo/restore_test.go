package demo_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// restoredSite is a Site whose store comes back from a copy. Each version of the configuration has a path of its own.
type restoredSite struct {
	*demo.Site
	t      *testing.T
	ctx    context.Context //nolint:containedctx // of one test
	calls  int
	writes int
}

func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }

func (s *restoredSite) configure(version int) {
	changed := demo.SiteRoutes()
	changed[0].PathPrefix = versionPath(version)
	require.NoError(s.t, s.Configure(version, changed))
}

// serves returns the status of a request that only a version of the configuration allows.
func (s *restoredSite) serves(vm, version int) int {
	s.calls++
	return call(s.ctx, s.Site, s.VMAddresses()[vm], fmt.Sprintf("r%d", s.calls), "GET", versionPath(version), "").status
}

func (s *restoredSite) awaitInForce(version int, vms ...int) {
	for _, vm := range vms {
		requireEventually(s.t, func() bool { return s.serves(vm, version) == 200 }, 10*time.Millisecond, "VM %d, version %d", vm, version)
	}
}

// write makes changes of no interest, for their revisions.
func (s *restoredSite) write(changes int) {
	for range changes {
		s.writes++
		_, err := s.Objects.Put("fillers", "f", -1, json.RawMessage(strconv.Itoa(s.writes)))
		require.NoError(s.t, err)
	}
}

// requireNoOlder checks that VMs keep a version in force although the store shows an older one.
func (s *restoredSite) requireNoOlder(version, older int, vms ...int) {
	for range 20 {
		for _, vm := range vms {
			require.NotEqual(s.t, 404, s.serves(vm, version), "VM %d went back", vm)
			require.NotEqual(s.t, 200, s.serves(vm, older), "VM %d went back", vm)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against configurations that are never in force on some VMs after the store has come back from a copy, and
// against VMs that take up the older one which it holds at first.
func TestStoreComesBackFromCopy(t *testing.T) {
	const few, many = 60, 5000
	cases := map[string]struct {
		// lost is how many changes are lost before the configuration that is lost.
		lost int
		// again is how many changes are made, after another configuration, before VMs can call the store.
		again          int
		killController bool
		startVM        bool
	}{
		"few changes lost":                       {lost: few},
		"many changes lost":                      {lost: many},
		"the position of watches exists again":   {lost: few, again: 4 * few},
		"controller killed while store is away":  {lost: few, killController: true},
		"many lost and controller killed":        {lost: many, killController: true},
		"VM started after the restore":           {lost: few, startVM: true},
		"controller killed, VM started, many":    {lost: many, killController: true, startVM: true},
		"controller killed, position is again":   {lost: few, again: 4 * few, killController: true},
		"VM started, position of watches exists": {lost: few, again: 4 * few, startVM: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site, ctx := startSite(t, demo.SiteOptions{VMs: 4})
			s := &restoredSite{Site: site, t: t, ctx: ctx}
			s.configure(3)
			s.awaitInForce(3, 0, 1, 2, 3)
			saved := s.Objects.Copy()
			s.write(c.lost)
			s.configure(5)
			s.awaitInForce(5, 0, 1, 2, 3)

			s.Objects.SetFaults(stand.ObjectStoreFaults{UnavailableTo: []string{"*"}})
			running, stopped := []int{0, 1, 2, 3}, -1
			for vm := range running {
				if c.killController && s.Node(vm).Leading() || c.startVM && !c.killController && !s.Node(vm).Leading() && stopped < 0 {
					stopped = vm
				}
			}
			if stopped >= 0 {
				s.KillNode(stopped)
				running = append(running[:stopped:stopped], running[stopped+1:]...)
			}
			time.Sleep(700 * time.Millisecond)
			s.Objects.Restore(saved)
			if c.again > 0 {
				s.configure(7)
				s.write(c.again)
			}
			s.Objects.SetFaults(stand.ObjectStoreFaults{})
			if c.startVM {
				require.NoError(t, s.StartNode(ctx, stopped))
			}
			if c.again == 0 {
				s.requireNoOlder(5, 3, running...)
				s.configure(7)
			}
			if c.startVM {
				running = append(running, stopped)
			}
			s.awaitInForce(7, running...)
			s.configure(9)
			s.awaitInForce(9, running...)
		})
	}
}

// Guards against a VM that goes back when operators write an older version again.
func TestOlderConfigurationNotTaken(t *testing.T) {
	site, ctx := startSite(t, demo.SiteOptions{})
	s := &restoredSite{Site: site, t: t, ctx: ctx}
	s.configure(5)
	s.awaitInForce(5, 0, 1, 2)
	s.configure(4)
	s.requireNoOlder(5, 4, 0, 1, 2)
	s.configure(6)
	s.awaitInForce(6, 0, 1, 2)
}
