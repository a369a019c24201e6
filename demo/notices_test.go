package demo_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// noticeLoadDuration is longer than the bound for servers that leave and the rest that servers ask for.
const noticeLoadDuration = 3500 * time.Millisecond

// Guards against requests to a server after a VM has passed on its word that it leaves, or during the
// rest that it has asked the VM for. The store is unavailable, so that nothing else tells.
func TestServerNotices(t *testing.T) {
	tests := map[string]struct {
		service, method, path, model string
		notice                       func(b *stand.Backend)
	}{
		"plain service leaves": {demo.SitePlainService, http.MethodGet, "/look/x", "", func(b *stand.Backend) { b.SetLeaving(true) }},
		"model server leaves":  {demo.SiteModelService, http.MethodPost, "/draft/x", "m1", func(b *stand.Backend) { b.SetLeaving(true) }},
		"plain service rests":  {demo.SitePlainService, http.MethodGet, "/look/x", "", func(b *stand.Backend) { b.SetRest("3", 3*time.Second) }},
		"model server rests":   {demo.SiteModelService, http.MethodPost, "/draft/x", "m1", func(b *stand.Backend) { b.SetRest("3", 3*time.Second) }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, ctx := startSite(t, demo.SiteOptions{})
			s.Objects.SetFaults(stand.ObjectStoreFaults{UnavailableTo: []string{"*"}})
			b := s.Backends(tc.service)[0]
			tc.notice(b)
			sendLoad(ctx, s, noticeLoadDuration, tc.method, tc.path, tc.model)
			require.Empty(t, b.Notices().Violations(nil))
		})
	}
}
